//! Instances and endpoints that come and go.

use std::time::Duration;

use anyhow::ensure;
use nix::sys::signal::Signal;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_platform::Platform;
use rstest::rstest;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::support::{fleet, run};

const PATIENCE: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(100);

fn plan() -> Plan {
    let plan = Plan::default().with_nodes(3).with_engines(2).with_services(0);
    plan.with_flag("fence", "1000").with_flag("silence", "500").with_flag("beacon", "100")
}

async fn registered(fleet: &Fleet, name: &str, wanted: bool) -> anyhow::Result<()> {
    let start = Instant::now();
    let key = format!("instances/{name}");
    while fleet.client().read(&key).await?.is_some() != wanted {
        ensure!(start.elapsed() < PATIENCE, "registered({name}) is not {wanted}");
        sleep(PAUSE).await;
    }
    Ok(())
}

// An instance dies for good. Its entry must not stay for ever, or each change that operators make
// would be reported as not in force.
#[rstest]
fn dead_instance_is_forgotten() {
    run(async {
        let mut held = fleet(&plan()).await?;
        held.fleet.process("node-1")?.kill()?;
        registered(&held.fleet, "node-1", false).await?;
        let words = ["domain", "out", "gooi", "--who", "anna", "--why", "switch work"];
        let (code, output) = held.fleet.run_nutmegctl(&words).await?;
        assert_eq!(code, 0, "{output}");
        Ok(())
    });
}

// An instance that hung for a while was taken for gone, and is there again.
#[rstest]
fn frozen_instance_comes_back() {
    run(async {
        let mut held = fleet(&plan()).await?;
        held.fleet.process("node-2")?.signal(Signal::SIGSTOP)?;
        registered(&held.fleet, "node-2", false).await?;
        held.fleet.process("node-2")?.signal(Signal::SIGCONT)?;
        registered(&held.fleet, "node-2", true).await?;
        held.fleet.wait_until_ready().await
    });
}

async fn sees_as_leaving(fleet: &Fleet, engine: &str) -> anyhow::Result<()> {
    let start = Instant::now();
    for name in fleet.nodes.keys() {
        loop {
            let status = fleet.status(name).await?;
            let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
            let row = rows.into_iter().find(|r| r["endpoint"]["id"] == engine);
            if row.is_some_and(|r| r["in_service"] == false) {
                break;
            }
            ensure!(start.elapsed() < PATIENCE, "{name} still uses {engine}");
            sleep(PAUSE).await;
        }
    }
    Ok(())
}

// An engine is about to go, and the platform's lagging list still shows it as live. What it gets now
// is cut off when it goes.
#[rstest]
fn leaving_engine_gets_nothing_though_the_list_lags() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("engine-0", &json!({ "leaving": true })).await?;
        sees_as_leaving(&held.fleet, "engine-0").await?;
        let caller = held.fleet.caller("staatsbos");
        for n in 0..6 {
            let heard = caller.stream(n, "district-sort", "a len=5").await?;
            assert!(heard.is_whole(), "{heard:?}");
        }
        let log = held.fleet.log("engine-0").await?;
        assert_eq!(log["runs"], json!({}));
        Ok(())
    });
}

// An instance in a domain that operators took out is no place for callers either.
#[rstest]
fn entries_of_an_out_domain_are_not_named() {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let out = held.fleet.nodes["node-0"].callers;
        let go = |place| ["domain", place, "veluwe", "--who", "anna", "--why", "switch work"];
        assert_eq!(held.fleet.run_nutmegctl(&go("out")).await?.0, 0);
        for n in 0..3 {
            let entries = caller.fetch_entries(n).await?;
            assert!(entries.len() == 2 && !entries.contains(&out), "{entries:?}");
        }
        assert_eq!(held.fleet.run_nutmegctl(&go("in")).await?.0, 0);
        assert!(caller.fetch_entries(1).await?.contains(&out));
        Ok(())
    });
}
