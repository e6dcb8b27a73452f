//! Measures what control costs as the fleet grows: `slopes [instances:engines…]`.
//!
//! By default 7, 14, 28 and 56 instances before 3 engines, and 7 before 6 and 12. For each size it starts that many instances, lets them idle, reads what each spent on heartbeats,
//! platform calls, processor time and memory, and then how long a change takes to be in force on
//! every instance. Everything runs on loopback and shares the machine.

use std::time::Duration;

use anyhow::Context;
use futures::future::try_join_all;
use nutmeggrade_core::config::Configuration;
use nutmeggrade_core::id::ChangeId;
use nutmeggrade_fakes::fleet::{Fleet, Plan, Usage};
use nutmeggrade_platform::Platform;
use tokio::time::{Instant, sleep};

const SIZES: &str = "7:3 14:3 28:3 56:3 7:6 7:12";
/// Most processes that one run starts at a time.
const MOST: usize = 120;
const SETTLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(20);
const CHANGES: u64 = 5;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let sizes = if given.is_empty() { SIZES.to_owned() } else { given.join(" ") };
    println!("an idle instance over {WINDOW:?}, the mean over all of them");
    println!(
        "{:>9} {:>7} {:>10} {:>10} {:>10} {:>12} {:>12} {:>8} {:>8} {:>8} {:>16}",
        "instances",
        "engines",
        "peers out",
        "peers in",
        "calls/s",
        "platform out",
        "platform in",
        "core",
        "memory",
        "threads",
        "change in force"
    );
    for size in sizes.split(' ') {
        let (nodes, engines) = size.split_once(':').context("instances:engines")?;
        let (nodes, engines): (usize, usize) = (nodes.parse()?, engines.parse()?);
        anyhow::ensure!(nodes + engines <= MOST, "at most {MOST} processes");
        measure(nodes, engines).await.with_context(|| size.to_owned())?;
    }
    Ok(())
}

/// What an instance spent so far.
#[derive(Debug, Clone, Copy, Default)]
struct Spent {
    peers_out: f64,
    peers_in: f64,
    calls: f64,
    platform_out: f64,
    platform_in: f64,
    usage: Usage,
}

async fn measure(size: usize, engines: usize) -> anyhow::Result<()> {
    let plan = Plan::default().with_nodes(size).with_engines(engines);
    let fleet = Fleet::start(&plan).await?;
    sleep(SETTLE).await;
    let (before, start) = (spent(&fleet).await?, Instant::now());
    sleep(WINDOW).await;
    let after = spent(&fleet).await?;
    let seconds = start.elapsed().as_secs_f64();
    let mean = |value: fn(&Spent) -> f64| {
        let grown: f64 = after.iter().zip(&before).map(|(a, b)| value(a) - value(b)).sum();
        grown / seconds / size as f64
    };
    let memory = after.iter().map(|s| s.usage.memory).sum::<u64>() / size as u64;
    let threads = after.iter().map(|s| s.usage.threads).sum::<u64>() / size as u64;
    let (middle, last) = change(&fleet).await?;
    println!(
        "{size:>9} {engines:>7} {:>8.0}/s {:>8.0}/s {:>10.1} {:>10.0}/s {:>10.0}/s {:>7.2}% {:>7}M {threads:>8} {:>7}/{:>5} ms",
        mean(|s| s.peers_out),
        mean(|s| s.peers_in),
        mean(|s| s.calls),
        mean(|s| s.platform_out),
        mean(|s| s.platform_in),
        100.0 * mean(|s| s.usage.cpu.as_secs_f64()),
        memory >> 20,
        middle.as_millis(),
        last.as_millis(),
    );
    Ok(())
}

async fn spent(fleet: &Fleet) -> anyhow::Result<Vec<Spent>> {
    try_join_all(fleet.nodes.keys().map(|name| one(fleet, name))).await
}

async fn one(fleet: &Fleet, name: &str) -> anyhow::Result<Spent> {
    let usage = fleet.usage(name)?;
    let text = fleet.metrics(name).await?;
    let sum = |prefix: &str| -> f64 {
        let samples = text.lines().filter(|l| l.starts_with(prefix));
        samples.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    Ok(Spent {
        peers_out: sum("nutmeggrade_peer_bytes_total{direction=\"out\"}"),
        peers_in: sum("nutmeggrade_peer_bytes_total{direction=\"in\"}"),
        calls: sum("nutmeggrade_platform_calls{"),
        platform_out: sum("nutmeggrade_platform_bytes{direction=\"out\"}"),
        platform_in: sum("nutmeggrade_platform_bytes{direction=\"in\"}"),
        usage,
    })
}

/// Writes changes one after the other; returns the middle and the longest time until one was in
/// force on every instance, counted from when the platform had it.
async fn change(fleet: &Fleet) -> anyhow::Result<(Duration, Duration)> {
    let platform = fleet.client();
    let mut times = Vec::new();
    for version in 2..2 + CHANGES {
        let object =
            platform.read(&Configuration::key(version - 1)).await?.context("no version")?;
        let value = object.value.context("no configuration")?;
        let mut config: Configuration = serde_json::from_value(value)?;
        config.version = version;
        config.id = ChangeId::new(&format!("change-{version}"))?;
        let value = serde_json::to_value(&config)?;
        platform.create(&Configuration::key(version), &value).await?;
        let start = Instant::now();
        let seen = fleet.nodes.keys().map(|name| in_force(fleet, name, version, start));
        let seen = try_join_all(seen).await?;
        times.push(seen.into_iter().max().unwrap_or_default());
    }
    times.sort_unstable();
    Ok((times[times.len() / 2], times[times.len() - 1]))
}

async fn in_force(
    fleet: &Fleet,
    name: &str,
    version: u64,
    start: Instant,
) -> anyhow::Result<Duration> {
    while fleet.counter(name, "nutmeggrade_config_version ").await? < version as f64 {
        sleep(POLL).await;
    }
    Ok(start.elapsed())
}
