//! Runs soaks: `soak [--seeds N] [--first SEED] [--seconds S] [--gap MS] [--instances N]
//! [--jobs N] [--acts]`, or one thing of each kind that operators do: `soak --show`.
//!
//! Each seed starts instances as processes of their own, has things go wrong around them and checks
//! the promises. Ends with an error if a promise was broken. Seeds are drawn unless `--first` names one.

use std::time::Duration;

use anyhow::Context;
use futures::StreamExt;
use getopts::Options;
use nutmeggrade_fakes::soak::{Plan, Verdict, run, show};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    // Whichever way this ends, the soaks are dropped, and a dropped soak ends its processes.
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    tokio::select! {
        ended = soak() => ended,
        _ = term.recv() => anyhow::bail!("stopped by a signal"),
        pressed = tokio::signal::ctrl_c() => pressed.context("handle Ctrl-C"),
    }
}

async fn soak() -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optopt("", "seeds", "how many seeds to run", "N");
    options.optopt("", "first", "first seed; the next ones follow it", "SEED");
    options.optopt("", "seconds", "time in which faults begin", "S");
    options.optopt("", "instances", "instances of each soak, fifteen at most", "N");
    options.optopt("", "gap", "mean time between two faults, in milliseconds", "MS");
    options.optopt("", "jobs", "soaks at a time", "N");
    options.optflag("", "show", "show a planned series of changes, without drawn faults");
    options.optflag("", "acts", "print what was done, also where nothing broke");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let given = options.parse(&args).with_context(|| options.usage("usage: soak [options]"))?;
    if given.opt_present("show") {
        return show_all().await;
    }
    let first = given.opt_get("first")?.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let count = given.opt_get_default("seeds", 1_u64)?;
    let seconds = given.opt_get_default("seconds", 12)?;
    let instances = given.opt_get_default("instances", 4)?;
    let gap = given.opt_get_default("gap", 350)?;
    let jobs = given.opt_get_default("jobs", 1)?;
    let shows_acts = given.opt_present("acts");
    let plans = (0..count).map(|n| {
        let length = Duration::from_secs(seconds);
        Plan::new(first + n).with_instances(instances).with_length(length).with_gap(gap)
    });
    let runs =
        futures::stream::iter(plans.map(|plan| async move { (plan.seed, run(&plan).await) }));
    let mut runs = runs.buffer_unordered(jobs);
    let mut failed = Vec::new();
    while let Some((seed, verdict)) = runs.next().await {
        let verdict = verdict.with_context(|| format!("seed {seed}"))?;
        print(seed, &verdict, shows_acts);
        if !verdict.violations.is_empty() {
            failed.push(seed);
        }
    }
    println!("soak: {} of {count} seeds broke a promise: {failed:?}", failed.len());
    anyhow::ensure!(failed.is_empty(), "promises were broken");
    Ok(())
}

async fn show_all() -> anyhow::Result<()> {
    println!("store, 4 engines, 2 services, 4 instances; clients ask all the while\n");
    let verdict = show(&Plan::new(0)).await?;
    for act in &verdict.actions {
        println!("  {act}");
    }
    let (asked, served) = verdict.requests;
    println!("\ndemo: {asked} requests, {served} served, by answer {:?}", verdict.outcomes);
    println!("demo: {} promises broken {:?}", verdict.violations.len(), verdict.violations);
    anyhow::ensure!(verdict.violations.is_empty(), "the demo did not end as it must");
    Ok(())
}

fn print(seed: u64, verdict: &Verdict, shows_acts: bool) {
    let (asked, served) = verdict.requests;
    println!("seed {seed}: {asked} asked, {served} served, {:?}", verdict.outcomes);
    for broken in &verdict.violations {
        println!("  BROKEN {broken}");
    }
    if shows_acts || !verdict.violations.is_empty() {
        for act in &verdict.actions {
            println!("  {act}");
        }
    }
}
