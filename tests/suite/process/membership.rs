//! Instances and endpoints that join and leave.

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

async fn until_registered(fleet: &Fleet, name: &str, wanted: bool) -> anyhow::Result<()> {
    let start = Instant::now();
    let key = format!("instances/{name}");
    while fleet.client().read(&key).await?.is_some() != wanted {
        ensure!(start.elapsed() < PATIENCE, "registered({name}) is not {wanted}");
        sleep(PAUSE).await;
    }
    Ok(())
}

// An instance dies and does not come back. Its entry has to be removed, or each change of the
// operators would be reported as not in force.
#[rstest]
fn dead_instance_is_forgotten() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        guard.fleet.process("node-1")?.kill()?;
        until_registered(&guard.fleet, "node-1", false).await?;
        let arguments = ["domain", "out", "gooi", "--who", "anna", "--why", "switch work"];
        let (code, output) = guard.fleet.run_nutmegctl(&arguments).await?;
        assert_eq!(code, 0, "{output}");
        Ok(())
    });
}

// An instance that was frozen and removed as dead registers again.
#[rstest]
fn frozen_instance_comes_back() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        guard.fleet.process("node-2")?.signal(Signal::SIGSTOP)?;
        until_registered(&guard.fleet, "node-2", false).await?;
        guard.fleet.process("node-2")?.signal(Signal::SIGCONT)?;
        until_registered(&guard.fleet, "node-2", true).await?;
        guard.fleet.wait_until_ready().await
    });
}

async fn until_seen_as_leaving(fleet: &Fleet, engine: &str) -> anyhow::Result<()> {
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

// An engine is about to leave, and the lagging endpoint list of the platform still shows it as
// live. Requests that it gets would be cut off when it leaves.
#[rstest]
fn leaving_engine_gets_nothing_though_the_list_lags() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("engine-0", &json!({ "leaving": true })).await?;
        until_seen_as_leaving(&guard.fleet, "engine-0").await?;
        let caller = guard.fleet.caller("staatsbos");
        for n in 0..6 {
            let received = caller.stream(n, "district-sort", "a len=5").await?;
            assert!(received.is_whole(), "{received:?}");
        }
        let log = guard.fleet.log("engine-0").await?;
        assert_eq!(log["runs"], json!({}));
        Ok(())
    });
}

// An instance in a failure domain that is out of service must not be listed for clients either.
#[rstest]
fn entries_of_an_out_domain_are_not_named() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let address = guard.fleet.nodes["node-0"].callers;
        let command =
            |direction| ["domain", direction, "veluwe", "--who", "anna", "--why", "switch work"];
        assert_eq!(guard.fleet.run_nutmegctl(&command("out")).await?.0, 0);
        for n in 0..3 {
            let entries = caller.fetch_entries(n).await?;
            assert!(entries.len() == 2 && !entries.contains(&address), "{entries:?}");
        }
        assert_eq!(guard.fleet.run_nutmegctl(&command("in")).await?.0, 0);
        assert!(caller.fetch_entries(1).await?.contains(&address));
        Ok(())
    });
}
