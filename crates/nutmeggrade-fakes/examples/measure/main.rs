//! Measures one instance on loopback: `measure [path|core|idle]`, all three by default.
//!
//! Stand-ins, load and instance share the machine; the figures are for comparing, in one run.

mod stream;

use std::time::Duration;

use anyhow::Context;
use futures::future::{join_all, try_join_all};
use nutmeggrade_fakes::fleet::{Fleet, Plan, Usage};
use tokio::time::{Instant, sleep};

use stream::{Arrivals, follow, straight, through};

const NODE: &str = "node-0";
const STREAMS: usize = 10;
const LENGTH: usize = 60;
const CALLERS: usize = 16;
/// Calls of each caller. Every call leaves two closed connections behind that hold their ports for a
/// minute, so that many more would meet the system's limit and not the instance's.
const CALLS: u32 = 200;
const OPEN: usize = 100;
const WINDOW: Duration = Duration::from_secs(4);
const SETTLE: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let what = std::env::args().nth(1);
    let wanted = |name: &str| what.as_deref().is_none_or(|w| w == name);
    if wanted("path") {
        path().await.context("path")?;
    }
    if wanted("core") {
        core().await.context("core")?;
    }
    if wanted("idle") {
        idle().await.context("idle")?;
    }
    Ok(())
}

/// Compares streams through an instance with streams straight from the engine.
async fn path() -> anyhow::Result<()> {
    let fleet = Fleet::start(&Plan::default().with_nodes(1).with_engines(1)).await?;
    let (mut by_node, mut by_engine) = (Vec::new(), Vec::new());
    let mut delays = Vec::new();
    for _ in 0..STREAMS {
        by_engine.push(straight(fleet.endpoints["engine-0"], LENGTH).await?);
        by_node.push(through(fleet.nodes[NODE].callers, LENGTH).await?);
        delays.extend(lags(&fleet).await?);
    }
    println!("path: {STREAMS} streams of {LENGTH} tokens each way, one at a time");
    compare("time to first token", by_engine.iter().map(|a| a.first).collect(), &by_node, |a| {
        vec![a.first]
    });
    let gaps = by_engine.iter().flat_map(Arrivals::gaps).collect();
    compare("time between tokens", gaps, &by_node, Arrivals::gaps);
    println!("  later than the engine's own stream of the same generation:");
    println!("    p50 {:?}, p95 {:?}", percentile(&mut delays, 50), percentile(&mut delays, 95));
    Ok(())
}

/// Follows one generation at the engine and through the instance; returns how much later each token
/// comes through the instance.
async fn lags(fleet: &Fleet) -> anyhow::Result<Vec<Duration>> {
    let (sender, generation) = tokio::sync::oneshot::channel();
    let node = fleet.nodes[NODE].callers;
    let at_node = stream::through_telling(node, LENGTH, Some(sender));
    let at_engine = async {
        let generation = generation.await.context("no generation")?;
        follow(fleet.endpoints["engine-0"], &generation).await
    };
    let (at_node, at_engine) = tokio::try_join!(at_node, at_engine)?;
    // The first tokens came before both were connected.
    let pairs = at_node.times.iter().zip(&at_engine.times).skip(10);
    Ok(pairs.map(|(node, engine)| node.saturating_duration_since(*engine)).collect())
}

fn compare(
    what: &str,
    mut straight: Vec<Duration>,
    through: &[Arrivals],
    pick: impl Fn(&Arrivals) -> Vec<Duration>,
) {
    let mut through: Vec<_> = through.iter().flat_map(pick).collect();
    for p in [50, 95] {
        let (a, b) = (percentile(&mut straight, p), percentile(&mut through, p));
        let ratio = b.as_secs_f64() / a.as_secs_f64();
        println!("  {what} p{p}: straight {a:?}, through {b:?}, ratio {ratio:.3}");
    }
}

fn percentile(values: &mut [Duration], p: usize) -> Duration {
    values.sort_unstable();
    values
        .get((values.len() * p / 100).min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Loads an instance with one worker with calls, then with open streams.
async fn core() -> anyhow::Result<()> {
    let plan = Plan::default().with_nodes(1).with_engines(4).with_flag("workers", "1");
    let fleet = Fleet::start(&plan).await?;
    calls(&fleet).await?;
    streams(&fleet).await
}

async fn calls(fleet: &Fleet) -> anyhow::Result<()> {
    let (before, start) = (fleet.usage(NODE)?, Instant::now());
    let one = |_| async {
        let caller = fleet.caller("staatsbos");
        for _ in 0..CALLS {
            let (status, answer) = caller.operation(0, "lookup-permit", None, "plot-1").await?;
            anyhow::ensure!(status.is_success(), "{status}: {answer}");
        }
        anyhow::Ok(CALLS)
    };
    let served: u32 = try_join_all((0..CALLERS).map(one)).await?.iter().sum();
    let spent = fleet.usage(NODE)?.cpu_since(&before);
    let rate = f64::from(served) / start.elapsed().as_secs_f64();
    println!("core: {CALLERS} callers with idempotent calls, a connection each");
    println!("  {rate:.0} calls/s, {:?} of processor time a call", spent / served);
    report_core(spent, start.elapsed());
    Ok(())
}

async fn streams(fleet: &Fleet) -> anyhow::Result<()> {
    let (empty, node) = (fleet.usage(NODE)?, fleet.nodes[NODE].callers);
    let load = join_all((0..OPEN).map(|_| through(node, 400)));
    let watch = async {
        while fleet.counter(NODE, "nutmeggrade_streams ").await? < OPEN as f64 {
            sleep(Duration::from_millis(50)).await;
        }
        let tokens = fleet.counter(NODE, "nutmeggrade_tokens_total").await?;
        let (before, start) = (fleet.usage(NODE)?, Instant::now());
        sleep(WINDOW).await;
        let passed = fleet.counter(NODE, "nutmeggrade_tokens_total").await? - tokens;
        let (after, spent_in) = (fleet.usage(NODE)?, start.elapsed());
        report_streams(&empty, &before, &after, passed, spent_in);
        anyhow::Ok(())
    };
    let (served, watched) = tokio::join!(load, watch);
    watched?;
    let failed = served.iter().filter(|s| s.is_err()).count();
    anyhow::ensure!(failed == 0, "{failed} streams failed");
    Ok(())
}

fn report_streams(empty: &Usage, before: &Usage, after: &Usage, tokens: f64, window: Duration) {
    let spent = after.cpu_since(before);
    let each = spent.as_secs_f64() / tokens;
    println!("core: {OPEN} streams open at a time, {:.0} tokens/s", tokens / window.as_secs_f64());
    println!(
        "  {:.1} us of processor time a token, so {:.0} tokens/s a core",
        each * 1e6,
        1.0 / each
    );
    report_core(spent, window);
    let grown = after.memory.saturating_sub(empty.memory);
    println!("  {} KiB of memory an open stream", (grown / OPEN as u64) >> 10);
}

fn report_core(spent: Duration, window: Duration) {
    println!("  {:.0}% of a core", 100.0 * spent.as_secs_f64() / window.as_secs_f64());
}

/// Reads what instances use that serve nobody.
async fn idle() -> anyhow::Result<()> {
    let fleet = Fleet::start(&Plan::default().with_nodes(3)).await?;
    sleep(SETTLE).await;
    let before = fleet.usage(NODE)?;
    sleep(2 * WINDOW).await;
    let after = fleet.usage(NODE)?;
    println!("idle: one of 3 instances before 3 engines");
    let share = after.cpu_since(&before).as_secs_f64() / (2 * WINDOW).as_secs_f64();
    println!(
        "  {:.2}% of a core, {} MiB, {} threads",
        100.0 * share,
        after.memory >> 20,
        after.threads
    );
    Ok(())
}
