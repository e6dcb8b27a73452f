//! Measures one instance on loopback: `measure [path|core|idle]`, all three by default.
//!
//! Fakes, load and instance share the machine, so figures are comparable only within one run.

mod stream;

use std::time::Duration;

use anyhow::Context;
use futures::future::{join_all, try_join_all};
use nutmeggrade_fakes::fleet::{Fleet, Plan, Usage};
use tokio::time::{Instant, sleep};

use stream::{Arrivals, resume_from_engine, stream_from_engine, stream_through_instance};

const NODE: &str = "node-0";
const STREAM_COUNT: usize = 10;
const STREAM_TOKENS: usize = 60;
const CALLER_COUNT: usize = 16;
/// Calls of each caller. Every call leaves two closed connections whose ports stay occupied for a
/// minute, so many more calls would reach the system's port limit before the instance's limit.
const CALLS_PER_CALLER: u32 = 200;
const OPEN_STREAMS: usize = 100;
const MEASURING_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mode = std::env::args().nth(1);
    let wanted = |name: &str| mode.as_deref().is_none_or(|w| w == name);
    if wanted("path") {
        measure_path().await.context("path")?;
    }
    if wanted("core") {
        measure_core().await.context("core")?;
    }
    if wanted("idle") {
        measure_idle().await.context("idle")?;
    }
    Ok(())
}

/// Compares streams through an instance with streams directly from the engine.
async fn measure_path() -> anyhow::Result<()> {
    let fleet = Fleet::start(&Plan::default().with_nodes(1).with_engines(1)).await?;
    let (mut node_streams, mut engine_streams) = (Vec::new(), Vec::new());
    let mut delays = Vec::new();
    for _ in 0..STREAM_COUNT {
        engine_streams.push(stream_from_engine(fleet.endpoints["engine-0"], STREAM_TOKENS).await?);
        node_streams.push(stream_through_instance(fleet.nodes[NODE].callers, STREAM_TOKENS).await?);
        delays.extend(token_delays(&fleet).await?);
    }
    println!("path: {STREAM_COUNT} streams of {STREAM_TOKENS} tokens each way, one at a time");
    print_comparison(
        "time to first token",
        engine_streams.iter().map(|a| a.first).collect(),
        &node_streams,
        |a| vec![a.first],
    );
    let gaps = engine_streams.iter().flat_map(Arrivals::gaps).collect();
    print_comparison("time between tokens", gaps, &node_streams, Arrivals::gaps);
    println!("  later than the engine's own stream of the same generation:");
    println!("    p50 {:?}, p95 {:?}", percentile(&mut delays, 50), percentile(&mut delays, 95));
    Ok(())
}

/// Streams one generation from the engine and through the instance; returns the delay of each token
/// that the instance adds.
async fn token_delays(fleet: &Fleet) -> anyhow::Result<Vec<Duration>> {
    let (sender, generation) = tokio::sync::oneshot::channel();
    let node = fleet.nodes[NODE].callers;
    let node_arrivals = stream::stream_and_send_id(node, STREAM_TOKENS, Some(sender));
    let engine_arrivals = async {
        let generation = generation.await.context("no generation")?;
        resume_from_engine(fleet.endpoints["engine-0"], &generation).await
    };
    let (node_arrivals, engine_arrivals) = tokio::try_join!(node_arrivals, engine_arrivals)?;
    // The first tokens may precede the second connection.
    let pairs = node_arrivals.times.iter().zip(&engine_arrivals.times).skip(10);
    Ok(pairs.map(|(node, engine)| node.saturating_duration_since(*engine)).collect())
}

fn print_comparison(
    title: &str,
    mut direct: Vec<Duration>,
    proxied: &[Arrivals],
    pick: impl Fn(&Arrivals) -> Vec<Duration>,
) {
    let mut proxied: Vec<_> = proxied.iter().flat_map(pick).collect();
    for p in [50, 95] {
        let (a, b) = (percentile(&mut direct, p), percentile(&mut proxied, p));
        let ratio = b.as_secs_f64() / a.as_secs_f64();
        println!("  {title} p{p}: straight {a:?}, through {b:?}, ratio {ratio:.3}");
    }
}

fn percentile(values: &mut [Duration], p: usize) -> Duration {
    values.sort_unstable();
    values
        .get((values.len() * p / 100).min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Loads an instance with one worker thread, first with calls, then with open streams.
async fn measure_core() -> anyhow::Result<()> {
    let plan = Plan::default().with_nodes(1).with_engines(4).with_flag("workers", "1");
    let fleet = Fleet::start(&plan).await?;
    measure_calls(&fleet).await?;
    measure_streams(&fleet).await
}

async fn measure_calls(fleet: &Fleet) -> anyhow::Result<()> {
    let (before, start) = (fleet.usage(NODE)?, Instant::now());
    let call_repeatedly = |_| async {
        let caller = fleet.caller("staatsbos");
        for _ in 0..CALLS_PER_CALLER {
            let (status, response) = caller.operation(0, "lookup-permit", None, "plot-1").await?;
            anyhow::ensure!(status.is_success(), "{status}: {response}");
        }
        anyhow::Ok(CALLS_PER_CALLER)
    };
    let call_count: u32 = try_join_all((0..CALLER_COUNT).map(call_repeatedly)).await?.iter().sum();
    let cpu_time = fleet.usage(NODE)?.cpu_since(&before);
    let rate = f64::from(call_count) / start.elapsed().as_secs_f64();
    println!("core: {CALLER_COUNT} callers with idempotent calls, a connection each");
    println!("  {rate:.0} calls/s, {:?} of processor time a call", cpu_time / call_count);
    report_core(cpu_time, start.elapsed());
    Ok(())
}

async fn measure_streams(fleet: &Fleet) -> anyhow::Result<()> {
    let (empty, node) = (fleet.usage(NODE)?, fleet.nodes[NODE].callers);
    let load = join_all((0..OPEN_STREAMS).map(|_| stream_through_instance(node, 400)));
    let measuring = async {
        while fleet.counter(NODE, "nutmeggrade_streams ").await? < OPEN_STREAMS as f64 {
            sleep(Duration::from_millis(50)).await;
        }
        let tokens_before = fleet.counter(NODE, "nutmeggrade_tokens_total").await?;
        let (before, start) = (fleet.usage(NODE)?, Instant::now());
        sleep(MEASURING_TIME).await;
        let token_count = fleet.counter(NODE, "nutmeggrade_tokens_total").await? - tokens_before;
        let (after, elapsed) = (fleet.usage(NODE)?, start.elapsed());
        report_streams(&empty, &before, &after, token_count, elapsed);
        anyhow::Ok(())
    };
    let (results, measurement) = tokio::join!(load, measuring);
    measurement?;
    let failed = results.iter().filter(|s| s.is_err()).count();
    anyhow::ensure!(failed == 0, "{failed} streams failed");
    Ok(())
}

fn report_streams(empty: &Usage, before: &Usage, after: &Usage, tokens: f64, window: Duration) {
    let cpu_time = after.cpu_since(before);
    let seconds_per_token = cpu_time.as_secs_f64() / tokens;
    println!(
        "core: {OPEN_STREAMS} streams open at a time, {:.0} tokens/s",
        tokens / window.as_secs_f64()
    );
    println!(
        "  {:.1} us of processor time a token, so {:.0} tokens/s a core",
        seconds_per_token * 1e6,
        1.0 / seconds_per_token
    );
    report_core(cpu_time, window);
    let memory_growth = after.memory.saturating_sub(empty.memory);
    println!("  {} KiB of memory an open stream", (memory_growth / OPEN_STREAMS as u64) >> 10);
}

fn report_core(cpu_time: Duration, window: Duration) {
    println!("  {:.0}% of a core", 100.0 * cpu_time.as_secs_f64() / window.as_secs_f64());
}

/// Measures the resource usage of an instance without load.
async fn measure_idle() -> anyhow::Result<()> {
    let fleet = Fleet::start(&Plan::default().with_nodes(3)).await?;
    sleep(SETTLE_TIME).await;
    let before = fleet.usage(NODE)?;
    sleep(2 * MEASURING_TIME).await;
    let after = fleet.usage(NODE)?;
    println!("idle: one of 3 instances before 3 engines");
    let share = after.cpu_since(&before).as_secs_f64() / (2 * MEASURING_TIME).as_secs_f64();
    println!(
        "  {:.2}% of a core, {} MiB, {} threads",
        100.0 * share,
        after.memory >> 20,
        after.threads
    );
    Ok(())
}
