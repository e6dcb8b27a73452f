//! An engine in cold start that several instances use.

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

/// Keeps the engine cold until an instance other than `excluded` may use it; returns the name of
/// that instance.
async fn until_owned(fleet: &Fleet, excluded: Option<&str>) -> anyhow::Result<String> {
    let start = Instant::now();
    loop {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        for name in fleet.nodes.keys().filter(|n| Some(n.as_str()) != excluded) {
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

/// Keeps the engine cold until `count` generations have run on it.
async fn keep_cold(fleet: &Fleet, count: usize) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        let log = fleet.log(ENGINE).await?;
        let ran = log["runs"].as_object().map_or(0, serde_json::Map::len);
        if ran >= count && log["running"] == 0 {
            return Ok(());
        }
        ensure!(start.elapsed() < PATIENCE, "the engine ran {ran} of {count}");
        sleep(PAUSE).await;
    }
}

async fn ensure_not_overloaded(fleet: &Fleet) -> anyhow::Result<()> {
    let log = fleet.log(ENGINE).await?;
    ensure!(log["crashes"] == 0, "the engine crashed: {log}");
    let peak = log["cold_peak"].as_u64().unwrap_or(0);
    ensure!((1..=2).contains(&peak), "it ran {peak} at once while cold");
    Ok(())
}

// An engine starts cold and many clients at all instances need it at once. Each instance on its own
// would stay below the limit of the engine; together they would crash it, and clients would wait
// for answers that never start.
#[rstest]
fn all_instances_together_stay_below_the_limit() {
    run(async {
        let guard = fleet(&plan()).await?;
        until_owned(&guard.fleet, None).await?;
        // Time until every instance has seen in its own load reports that the engine is cold.
        sleep(Duration::from_secs(1)).await;
        until_owned(&guard.fleet, None).await?;
        let caller = guard.fleet.caller("staatsbos");
        let calls = (0..9).map(|n| caller.stream(n, "district-sort", "a len=12"));
        let (received, cold_result) =
            tokio::join!(futures::future::join_all(calls), keep_cold(&guard.fleet, 3));
        cold_result?;
        ensure_not_overloaded(&guard.fleet).await?;
        let complete = received.into_iter().flatten().filter(StreamOutput::is_whole).count();
        assert!(complete >= 3, "only {complete} streams were complete");
        Ok(())
    });
}

// The owner of a cold engine is frozen while a generation runs on it, and another instance takes
// over. The first owner then continues with its outdated state. Requests of both must not crash the
// engine during its start.
#[rstest]
fn frozen_owner_and_its_successor_stay_below_the_limit() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let first = until_owned(&guard.fleet, None).await?;
        let caller = guard.fleet.caller("staatsbos");
        let early_caller = caller.clone();
        let position = guard.fleet.nodes.keys().position(|n| *n == first).unwrap_or(0);
        let early_stream = tokio::spawn(async move {
            early_caller.stream(position, "permit-draft", "a len=300").await
        });
        keep_cold_until_running(&guard.fleet).await?;
        guard.fleet.process(&first)?.signal(Signal::SIGSTOP)?;
        let second = until_owned(&guard.fleet, Some(&first)).await?;
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
        let mut streams: Vec<_> = calls(position + 1).collect();
        sleep(Duration::from_millis(500)).await;
        guard.fleet.process(&first)?.signal(Signal::SIGCONT)?;
        streams.extend(calls(position));
        keep_cold(&guard.fleet, 3).await?;
        ensure_not_overloaded(&guard.fleet).await?;
        for call in streams {
            call.abort();
        }
        early_stream.abort();
        Ok(())
    });
}

async fn keep_cold_until_running(fleet: &Fleet) -> anyhow::Result<()> {
    let start = Instant::now();
    while fleet.log(ENGINE).await?["running"] == 0 {
        fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        ensure!(start.elapsed() < PATIENCE, "no generation runs");
        sleep(PAUSE).await;
    }
    Ok(())
}

// The platform is down for long while an engine starts. The owner of the engine can no longer be
// determined, so the engine gets nothing until it is warm. Clients wait for as long, and the engine
// does not crash.
#[rstest]
fn nobody_uses_a_cold_engine_in_an_outage() {
    run(async {
        let guard = fleet(&plan()).await?;
        until_owned(&guard.fleet, None).await?;
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let start = Instant::now();
        while has_owner(&guard.fleet).await? {
            ensure!(start.elapsed() < PATIENCE, "the lease does not lapse");
            sleep(PAUSE).await;
        }
        let caller = guard.fleet.caller("staatsbos");
        let calls: Vec<_> = (0..3)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(n, "district-sort", "a len=5").await })
            })
            .collect();
        for _ in 0..10 {
            guard.fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
            sleep(PAUSE).await;
        }
        assert_eq!(guard.fleet.log(ENGINE).await?["runs"], json!({}));
        guard.fleet.set_faults(ENGINE, &json!({ "cold": false })).await?;
        for call in calls {
            let received = call.await??;
            assert!(received.is_whole(), "{received:?}");
        }
        Ok(())
    });
}

/// Keeps the engine cold; returns whether an instance may use it.
async fn has_owner(fleet: &Fleet) -> anyhow::Result<bool> {
    fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
    for name in fleet.nodes.keys() {
        let status = fleet.status(name).await?;
        if status.pointer("/endpoints/0/owner_epoch").is_some_and(Value::is_u64) {
            return Ok(true);
        }
    }
    Ok(false)
}

// A warm engine under load turns cold without notice. The requests in progress may crash it once;
// when it is back, the waiting requests must not crash it again and again.
#[rstest]
fn engine_that_turns_cold_falls_over_once_at_most() {
    run(async {
        let guard = fleet(&plan()).await?;
        until_owned(&guard.fleet, None).await?;
        guard.fleet.set_faults(ENGINE, &json!({ "cold": false })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let first = caller.stream(0, "district-sort", "a len=5").await?;
        assert!(first.is_whole(), "{first:?}");
        let calls: Vec<_> = (0..8)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move {
                    let start = Instant::now();
                    while start.elapsed() < Duration::from_secs(5) {
                        // Requests that the engine loses in its crash end with an error.
                        drop(caller.stream(n, "district-sort", "a len=12").await);
                        sleep(PAUSE).await;
                    }
                })
            })
            .collect();
        sleep(Duration::from_millis(400)).await;
        guard.fleet.set_faults(ENGINE, &json!({ "cold": true })).await?;
        for call in calls {
            call.await?;
        }
        let start = Instant::now();
        while !caller.stream(1, "district-sort", "a len=5").await?.is_whole() {
            ensure!(start.elapsed() < PATIENCE, "the engine does not come back");
            sleep(PAUSE).await;
        }
        let log = guard.fleet.log(ENGINE).await?;
        assert!(log["crashes"].as_u64() <= Some(1), "{log}");
        Ok(())
    });
}
