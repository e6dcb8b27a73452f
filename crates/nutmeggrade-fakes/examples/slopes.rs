//! Measures how coordination overhead grows with the fleet: `slopes [instances:engines…]`.
//!
//! The default sizes are 7, 14, 28 and 56 instances with 3 engines, and 7 instances with 6 and 12.
//! Each size is started and left idle. The table lists each instance's heartbeat traffic, platform
//! calls, processor time and memory, and the time until a change is in force on every instance. All
//! processes run on loopback and share the machine.

use std::time::Duration;

use anyhow::Context;
use futures::future::try_join_all;
use nutmeggrade_core::config::Configuration;
use nutmeggrade_core::id::ChangeId;
use nutmeggrade_fakes::fleet::{Fleet, Plan, Usage};
use nutmeggrade_platform::Platform;
use tokio::time::{Instant, sleep};

const DEFAULT_SIZES: &str = "7:3 14:3 28:3 56:3 7:6 7:12";
/// Maximum number of instances and engines of one size.
const MAX_PROCESSES: usize = 120;
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURING_TIME: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHANGE_COUNT: u64 = 5;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let sizes = if args.is_empty() { DEFAULT_SIZES.to_owned() } else { args.join(" ") };
    println!("an idle instance over {MEASURING_TIME:?}, the mean over all of them");
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
        anyhow::ensure!(nodes + engines <= MAX_PROCESSES, "at most {MAX_PROCESSES} processes");
        measure(nodes, engines).await.with_context(|| size.to_owned())?;
    }
    Ok(())
}

/// Cumulative resource usage of an instance.
#[derive(Debug, Clone, Copy, Default)]
struct Consumption {
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
    sleep(SETTLE_TIME).await;
    let (before, start) = (consumption(&fleet).await?, Instant::now());
    sleep(MEASURING_TIME).await;
    let after = consumption(&fleet).await?;
    let seconds = start.elapsed().as_secs_f64();
    let mean = |value: fn(&Consumption) -> f64| {
        let increase: f64 = after.iter().zip(&before).map(|(a, b)| value(a) - value(b)).sum();
        increase / seconds / size as f64
    };
    let memory = after.iter().map(|s| s.usage.memory).sum::<u64>() / size as u64;
    let threads = after.iter().map(|s| s.usage.threads).sum::<u64>() / size as u64;
    let (median, longest) = measure_change_time(&fleet).await?;
    println!(
        "{size:>9} {engines:>7} {:>8.0}/s {:>8.0}/s {:>10.1} {:>10.0}/s {:>10.0}/s {:>7.2}% {:>7}M {threads:>8} {:>7}/{:>5} ms",
        mean(|s| s.peers_out),
        mean(|s| s.peers_in),
        mean(|s| s.calls),
        mean(|s| s.platform_out),
        mean(|s| s.platform_in),
        100.0 * mean(|s| s.usage.cpu.as_secs_f64()),
        memory >> 20,
        median.as_millis(),
        longest.as_millis(),
    );
    Ok(())
}

async fn consumption(fleet: &Fleet) -> anyhow::Result<Vec<Consumption>> {
    try_join_all(fleet.nodes.keys().map(|name| read_instance(fleet, name))).await
}

async fn read_instance(fleet: &Fleet, name: &str) -> anyhow::Result<Consumption> {
    let usage = fleet.usage(name)?;
    let text = fleet.metrics(name).await?;
    let sum = |prefix: &str| -> f64 {
        let samples = text.lines().filter(|l| l.starts_with(prefix));
        samples.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    Ok(Consumption {
        peers_out: sum("nutmeggrade_peer_bytes_total{direction=\"out\"}"),
        peers_in: sum("nutmeggrade_peer_bytes_total{direction=\"in\"}"),
        calls: sum("nutmeggrade_platform_calls{"),
        platform_out: sum("nutmeggrade_platform_bytes{direction=\"out\"}"),
        platform_in: sum("nutmeggrade_platform_bytes{direction=\"in\"}"),
        usage,
    })
}

/// Writes several changes in sequence; returns the median and the longest time from the write's
/// completion until the change was in force on every instance.
async fn measure_change_time(fleet: &Fleet) -> anyhow::Result<(Duration, Duration)> {
    let platform = fleet.client();
    let mut propagation_times = Vec::new();
    for version in 2..2 + CHANGE_COUNT {
        let object =
            platform.read(&Configuration::key(version - 1)).await?.context("no version")?;
        let value = object.value.context("no configuration")?;
        let mut config: Configuration = serde_json::from_value(value)?;
        config.version = version;
        config.id = ChangeId::new(&format!("change-{version}"))?;
        let value = serde_json::to_value(&config)?;
        platform.create(&Configuration::key(version), &value).await?;
        let start = Instant::now();
        let propagation = fleet.nodes.keys().map(|name| wait_in_force(fleet, name, version, start));
        let propagation = try_join_all(propagation).await?;
        propagation_times.push(propagation.into_iter().max().unwrap_or_default());
    }
    propagation_times.sort_unstable();
    Ok((
        propagation_times[propagation_times.len() / 2],
        propagation_times[propagation_times.len() - 1],
    ))
}

async fn wait_in_force(
    fleet: &Fleet,
    name: &str,
    version: u64,
    start: Instant,
) -> anyhow::Result<Duration> {
    while fleet.counter(name, "nutmeggrade_config_version ").await? < version as f64 {
        sleep(POLL_INTERVAL).await;
    }
    Ok(start.elapsed())
}
