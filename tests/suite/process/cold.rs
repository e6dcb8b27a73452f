//! An engine in cold start behind several instances.

use std::time::Duration;

use anyhow::ensure;
use nix::sys::signal::Signal;
use nutmeggrade_fakes::fleet::{Fleet, Plan, StreamOutput};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::support::{fleet, run};

const PATIENCE: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(100);
const ENGINE: &str = "engine-0";

fn plan() -> Plan {
    let plan = Plan::default().with_nodes(3).with_engines(1).with_services(0);
    plan.with_flag("lease", "800").with_flag("silence", "1000").with_flag("beacon", "100")
}

/// Keeps the engine cold until an instance other than `but` may use it; returns that instance.
async fn owner(fleet: &Fleet, but: Option<&str>) -> anyhow::Result<String> {
    let start = Instant::now();
    loop {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        for name in fleet.nodes.keys().filter(|n| Some(n.as_str()) != but) {
            let status = fleet.status(name).await.unwrap_or(Value::Null);
            let row = status.pointer("/endpoints/0").cloned().unwrap_or_default();
            if row["owner_epoch"].is_u64() {
                return Ok(name.clone());
            }
        }
        ensure!(start.elapsed() < PATIENCE, "no owner");
        sleep(PAUSE).await;
    }
}

/// Keeps the engine cold until `done` generations ran on it.
async fn keep_cold(fleet: &Fleet, done: usize) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        let log = fleet.log(ENGINE).await?;
        let ran = log["runs"].as_object().map_or(0, serde_json::Map::len);
        if ran >= done && log["running"] == 0 {
            return Ok(());
        }
        ensure!(start.elapsed() < PATIENCE, "the engine ran {ran} of {done}");
        sleep(PAUSE).await;
    }
}

async fn assert_unharmed(fleet: &Fleet) -> anyhow::Result<()> {
    let log = fleet.log(ENGINE).await?;
    ensure!(log["crashes"] == 0, "the engine fell over: {log}");
    let peak = log["cold_peak"].as_u64().unwrap_or(0);
    ensure!((1..=2).contains(&peak), "it held {peak} while cold");
    Ok(())
}

// An engine starts cold and many callers at all instances want it at once. Each instance alone would
// give it as much as it bears; together they would make it fall over, and callers see answers that
// never begin.
#[rstest]
fn all_instances_together_stay_below_the_limit() {
    run(async {
        let held = fleet(&plan()).await?;
        owner(&held.fleet, None).await?;
        // Every instance has seen by its own reports that the engine is cold.
        sleep(Duration::from_secs(1)).await;
        owner(&held.fleet, None).await?;
        let caller = held.fleet.caller("staatsbos");
        let calls = (0..9).map(|n| caller.stream(n, "district-sort", "a len=12"));
        let (heard, kept) =
            tokio::join!(futures::future::join_all(calls), keep_cold(&held.fleet, 3));
        kept?;
        assert_unharmed(&held.fleet).await?;
        let whole = heard.into_iter().flatten().filter(StreamOutput::is_whole).count();
        assert!(whole >= 3, "only {whole} were served");
        Ok(())
    });
}

// The owner of a cold engine is stopped with work on it, another instance takes over, and the first
// wakes in the belief that nothing happened. Users notice an engine that crashes while it starts.
#[rstest]
fn frozen_owner_and_its_successor_stay_below_the_limit() {
    run(async {
        let mut held = fleet(&plan()).await?;
        let first = owner(&held.fleet, None).await?;
        let caller = held.fleet.caller("staatsbos");
        let slow = caller.clone();
        let place = held.fleet.nodes.keys().position(|n| *n == first).unwrap_or(0);
        let early =
            tokio::spawn(async move { slow.stream(place, "permit-draft", "a len=300").await });
        keep_running(&held.fleet).await?;
        held.fleet.process(&first)?.signal(Signal::SIGSTOP)?;
        let second = owner(&held.fleet, Some(&first)).await?;
        assert_ne!(first, second);
        let calls = |from: usize| {
            let caller = caller.clone();
            (0..4).map(move |n| {
                let caller = caller.clone();
                tokio::spawn(
                    async move { caller.stream(from + n, "district-sort", "a len=12").await },
                )
            })
        };
        let mut open: Vec<_> = calls(place + 1).collect();
        sleep(Duration::from_millis(500)).await;
        held.fleet.process(&first)?.signal(Signal::SIGCONT)?;
        open.extend(calls(place));
        keep_cold(&held.fleet, 3).await?;
        assert_unharmed(&held.fleet).await?;
        for call in open {
            call.abort();
        }
        early.abort();
        Ok(())
    });
}

async fn keep_running(fleet: &Fleet) -> anyhow::Result<()> {
    let start = Instant::now();
    while fleet.log(ENGINE).await?["running"] == 0 {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        ensure!(start.elapsed() < PATIENCE, "nothing runs");
        sleep(PAUSE).await;
    }
    Ok(())
}

// The platform is down for long while an engine starts. Whose it is can't be known any more, so it
// gets nothing until it is warm; one would notice callers who wait for as long, and no crash.
#[rstest]
fn nobody_uses_a_cold_engine_in_an_outage() {
    run(async {
        let held = fleet(&plan()).await?;
        owner(&held.fleet, None).await?;
        held.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let start = Instant::now();
        while owned(&held.fleet).await? {
            ensure!(start.elapsed() < PATIENCE, "the lease does not lapse");
            sleep(PAUSE).await;
        }
        let caller = held.fleet.caller("staatsbos");
        let calls: Vec<_> = (0..3)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(n, "district-sort", "a len=5").await })
            })
            .collect();
        for _ in 0..10 {
            held.fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
            sleep(PAUSE).await;
        }
        assert_eq!(held.fleet.log(ENGINE).await?["runs"], json!({}));
        held.fleet.set_faults(ENGINE, &json!({ "cold": false })).await?;
        for call in calls {
            let heard = call.await??;
            assert!(heard.is_whole(), "{heard:?}");
        }
        Ok(())
    });
}

/// Keeps the engine cold, and says whether an instance may use it.
async fn owned(fleet: &Fleet) -> anyhow::Result<bool> {
    fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
    for name in fleet.nodes.keys() {
        let status = fleet.status(name).await?;
        if status.pointer("/endpoints/0/owner_epoch").is_some_and(Value::is_u64) {
            return Ok(true);
        }
    }
    Ok(false)
}

// A warm engine under load turns cold without a word. What is on its way makes it fall over once at
// most; as it comes up again it must not fall over again and again under all that wait for it.
#[rstest]
fn engine_that_turns_cold_falls_over_once_at_most() {
    run(async {
        let held = fleet(&plan()).await?;
        owner(&held.fleet, None).await?;
        held.fleet.set_faults(ENGINE, &json!({ "cold": false })).await?;
        let caller = held.fleet.caller("staatsbos");
        let first = caller.stream(0, "district-sort", "a len=5").await?;
        assert!(first.is_whole(), "{first:?}");
        let calls: Vec<_> = (0..8)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move {
                    let start = Instant::now();
                    while start.elapsed() < Duration::from_secs(5) {
                        // Those that the engine loses as it falls over end with an error.
                        drop(caller.stream(n, "district-sort", "a len=12").await);
                        sleep(PAUSE).await;
                    }
                })
            })
            .collect();
        sleep(Duration::from_millis(400)).await;
        held.fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        for call in calls {
            call.await?;
        }
        let start = Instant::now();
        while !caller.stream(1, "district-sort", "a len=5").await?.is_whole() {
            ensure!(start.elapsed() < PATIENCE, "the engine does not come back");
            sleep(PAUSE).await;
        }
        let log = held.fleet.log(ENGINE).await?;
        assert!(log["crashes"].as_u64() <= Some(1), "{log}");
        Ok(())
    });
}
