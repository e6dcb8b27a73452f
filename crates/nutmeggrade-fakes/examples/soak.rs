//! Runs soak tests: `soak [--seeds N] [--first SEED] [--seconds S] [--gap MS] [--lost MS]
//! [--silent MS] [--releases MS] [--odd MS] [--overlaps MS] [--slow] [--instances N] [--jobs N] [--acts]`, or one operator action of each kind: `soak --show`.
//!
//! Each seed starts instances as separate processes, injects faults around them and checks the
//! guarantees. Exits with an error if a guarantee was violated. The first seed is random unless
//! `--first` sets it.

use std::time::Duration;

use anyhow::Context;
use futures::StreamExt;
use getopts::Options;
use nutmeggrade_fakes::soak::{Plan, Verdict, run, show};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    // On every way out the running soaks are dropped, which ends their processes.
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    tokio::select! {
        result = soak() => result,
        _ = term.recv() => anyhow::bail!("stopped by a signal"),
        interrupted = tokio::signal::ctrl_c() => interrupted.context("handle Ctrl-C"),
    }
}

async fn soak() -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optopt("", "seeds", "how many seeds to run", "N");
    options.optopt("", "first", "first seed; the next ones follow it", "SEED");
    options.optopt("", "seconds", "period in which faults begin", "S");
    options.optopt("", "instances", "instances of each soak, at most 15", "N");
    options.optopt("", "gap", "mean time between two faults, in milliseconds", "MS");
    options.optopt(
        "",
        "lost",
        "mean time between two changes that are lost, in milliseconds",
        "MS",
    );
    options.optopt("", "silent", "mean time between two silences, in milliseconds; 0: none", "MS");
    options.optopt("", "releases", "mean time between two releases; 0: none", "MS");
    options.optopt("", "odd", "mean time between two entries that can't be used; 0: none", "MS");
    options.optopt(
        "",
        "overlaps",
        "mean time between two series of stops of all instances, in milliseconds; 0: none",
        "MS",
    );
    options.optflag("", "slow", "let some clients read slowly");
    options.optopt("", "jobs", "soaks that run at the same time", "N");
    options.optflag("", "show", "run a fixed series of changes, without random faults");
    options.optflag("", "acts", "print the actions of passed soaks too");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(&args).with_context(|| options.usage("usage: soak [options]"))?;
    if matches.opt_present("show") {
        return run_show().await;
    }
    let first = matches.opt_get("first")?.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let count = matches.opt_get_default("seeds", 1_u64)?;
    let seconds = matches.opt_get_default("seconds", 12)?;
    let instances = matches.opt_get_default("instances", 4)?;
    let gap = matches.opt_get_default("gap", 350)?;
    let lost = matches.opt_get_default("lost", 5_000)?;
    let silent = matches.opt_get_default("silent", 0)?;
    let releases = matches.opt_get_default("releases", 0)?;
    let odd = matches.opt_get_default("odd", 0)?;
    let overlaps = matches.opt_get_default("overlaps", 0)?;
    let is_slow = matches.opt_present("slow");
    let jobs = matches.opt_get_default("jobs", 1)?;
    let shows_acts = matches.opt_present("acts");
    let plans = (0..count).map(|n| {
        let length = Duration::from_secs(seconds);
        let plan = Plan::new(first + n)
            .with_instances(instances)
            .with_length(length)
            .with_gap(gap)
            .with_notices()
            .with_stream_ends()
            .with_lost_changes(lost);
        let plan = if silent > 0 { plan.with_silences(silent) } else { plan };
        let plan = if releases > 0 { plan.with_releases(releases) } else { plan };
        let plan = if odd > 0 { plan.with_odd_entries(odd) } else { plan };
        let plan = if overlaps > 0 { plan.with_overlapping_stops(overlaps) } else { plan };
        if is_slow { plan.with_slow_clients() } else { plan }
    });
    let runs =
        futures::stream::iter(plans.map(|plan| async move { (plan.seed, run(&plan).await) }));
    let mut runs = runs.buffer_unordered(jobs);
    let mut failed = Vec::new();
    while let Some((seed, verdict)) = runs.next().await {
        let verdict = verdict.with_context(|| format!("seed {seed}"))?;
        print_verdict(seed, &verdict, shows_acts);
        if !verdict.violations.is_empty() {
            failed.push(seed);
        }
    }
    println!("soak: {} of {count} seeds broke a promise: {failed:?}", failed.len());
    anyhow::ensure!(failed.is_empty(), "guarantees were violated");
    Ok(())
}

async fn run_show() -> anyhow::Result<()> {
    println!("store, 4 engines, 2 services, 4 instances; clients ask all the while\n");
    let verdict = show(&Plan::new(0)).await?;
    for act in &verdict.actions {
        println!("  {act}");
    }
    let (asked, served) = verdict.requests;
    println!("\ndemo: {asked} requests, {served} served, by answer {:?}", verdict.outcomes);
    println!("demo: {} promises broken {:?}", verdict.violations.len(), verdict.violations);
    anyhow::ensure!(verdict.violations.is_empty(), "a guarantee was violated");
    Ok(())
}

fn print_verdict(seed: u64, verdict: &Verdict, shows_acts: bool) {
    let (asked, served) = verdict.requests;
    println!("seed {seed}: {asked} asked, {served} served, {:?}", verdict.outcomes);
    for violation in &verdict.violations {
        println!("  BROKEN {violation}");
    }
    if shows_acts || !verdict.violations.is_empty() {
        for act in &verdict.actions {
            println!("  {act}");
        }
    }
}
