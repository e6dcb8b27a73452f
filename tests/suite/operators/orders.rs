//! Orders to engines: sent by one owner, within the rate of the weight store, and read back.

use std::time::Duration;

use anyhow::Context;
use http::Method;
use nix::sys::signal::Signal;
use nutmeggrade_core::order::{EngineState, ModelRef, ORDERS_PATH, OrderStatus, Progress};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_fakes::http::{request_json, send};
use nutmeggrade_platform::Platform;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::support::{fleet, run};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Duration of a load of the fake engine, in milliseconds.
const LOAD_MS: i64 = 400;
/// Tolerance in milliseconds: wall clocks are read in two processes and may be adjusted meanwhile.
const CLOCK_TOLERANCE_MS: i64 = 100;

async fn run_order(
    fleet: &Fleet,
    who: &str,
    order_arguments: &[&str],
) -> anyhow::Result<(i32, String)> {
    let rest = ["--who", who, "--why", "new version", "--wait", "60000"];
    fleet.run_nutmegctl(&[&["order"], order_arguments, &rest[..]].concat()).await
}

async fn ensure_done(fleet: &Fleet, order_arguments: &[&str]) -> anyhow::Result<()> {
    let (code, text) = run_order(fleet, "anna", order_arguments).await?;
    anyhow::ensure!(
        code == 0 && text.contains("progress=done"),
        "{order_arguments:?}: {code} {text}"
    );
    Ok(())
}

/// Returns the orders that an engine received, oldest first.
async fn received_orders(fleet: &Fleet, engine: &str) -> anyhow::Result<Vec<Value>> {
    let log = fleet.log(engine).await?;
    log["orders"].as_array().cloned().context("no orders")
}

async fn order_status(fleet: &Fleet, engine: &str) -> anyhow::Result<Option<OrderStatus>> {
    let key = OrderStatus::key(&EndpointId::new(engine)?);
    let value = fleet.client().read(&key).await?.and_then(|o| o.value);
    Ok(value.map(serde_json::from_value).transpose()?)
}

fn fences(orders: &[Value]) -> Vec<u64> {
    orders.iter().filter_map(|o| o["fence"].as_u64()).collect()
}

#[rstest]
fn engine_does_what_was_ordered() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(2).with_engines(1)).await?;
        ensure_done(&guard.fleet, &["load", "engine-0", "nutmeg-schrijvers@2"]).await?;
        ensure_done(&guard.fleet, &["load", "engine-0", "nutmeg-schrijvers@2+kozijn"]).await?;
        ensure_done(&guard.fleet, &["unload", "engine-0", "nutmeg-schrijvers@1"]).await?;
        ensure_done(&guard.fleet, &["role", "engine-0", "decode"]).await?;
        let orders = received_orders(&guard.fleet, "engine-0").await?;
        let names: Vec<_> = orders.iter().filter_map(|o| o["order"].as_str()).collect();
        assert_eq!(names, ["load", "load", "role"]);
        assert!(fences(&orders).iter().all(|f| *f > 0), "{orders:?}");
        let (code, text) = guard.fleet.run_nutmegctl(&["audit"]).await?;
        assert!(code == 0 && text.contains("order_sent"), "{text}");
        Ok(())
    });
}

// A new version is ordered on all engines at once. The weight store sustains one load at a time, so
// the engines load one after another; loads at the same time would all be slow.
#[rstest]
fn weight_store_is_shared() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(2).with_engines(3)).await?;
        let engines = ["engine-0", "engine-1", "engine-2"];
        for engine in engines {
            guard.fleet.set_faults(engine, &json!({ "load_ms": LOAD_MS })).await?;
        }
        let [a, b, c] = engines.map(|e| ["load", e, "nutmeg-schrijvers@2"]);
        let one = |order_arguments| ensure_done(&guard.fleet, order_arguments);
        tokio::try_join!(one(&a), one(&b), one(&c))?;
        let mut starts = Vec::new();
        for engine in engines {
            let orders = received_orders(&guard.fleet, engine).await?;
            assert_eq!(orders.len(), 1, "{orders:?}");
            starts.extend(orders[0]["at_ms"].as_i64());
        }
        starts.sort_unstable();
        let do_not_overlap = |pair: &[i64]| pair[1] - pair[0] >= LOAD_MS - CLOCK_TOLERANCE_MS;
        assert!(starts.windows(2).all(do_not_overlap), "{starts:?}");
        Ok(())
    });
}

// The owner of an engine is frozen during a load. Another instance takes over, sees the load in
// progress and does not repeat it. The former owner continues with an outdated lease; this engine
// ignores fencing numbers, so the former owner must not send anything.
#[rstest]
fn owner_replaced_in_the_middle() {
    run(async {
        let mut guard = fleet(&Plan::default().with_nodes(3).with_engines(1)).await?;
        let faults = json!({ "ignore_fence": true, "load_ms": 1_500 });
        guard.fleet.set_faults("engine-0", &faults).await?;
        let order_arguments = ["load", "engine-0", "nutmeg-schrijvers@2"];
        let until_sent = async {
            loop {
                if received_orders(&guard.fleet, "engine-0").await?.len() == 1 {
                    break order_status(&guard.fleet, "engine-0").await;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        // The command only has to write the order, so it does not wait.
        let rest = ["--who", "anna", "--why", "x", "--wait", "0"];
        let arguments = [&["order"], &order_arguments[..], &rest[..]].concat();
        let command = guard.fleet.run_nutmegctl(&arguments);
        let (_, first) = tokio::try_join!(command, until_sent)?;
        let first = first.context("no order status")?;
        let owner = first.instance.to_string();
        guard.fleet.process(&owner)?.signal(Signal::SIGSTOP)?;
        ensure_done(&guard.fleet, &order_arguments).await?;
        let second = order_status(&guard.fleet, "engine-0").await?.context("no order status")?;
        assert!(second.instance != first.instance && second.epoch > first.epoch, "{second:?}");
        guard.fleet.process(&owner)?.signal(Signal::SIGCONT)?;
        ensure_done(&guard.fleet, &["role", "engine-0", "decode"]).await?;
        let orders = received_orders(&guard.fleet, "engine-0").await?;
        let names: Vec<_> = orders.iter().filter_map(|o| o["order"].as_str()).collect();
        assert_eq!(names, ["load", "role"], "{orders:?}");
        assert!(fences(&orders).is_sorted(), "{orders:?}");
        let (_, trail) = guard.fleet.run_nutmegctl(&["audit"]).await?;
        let mut takeovers = trail.lines().filter(|l| l.starts_with("took_over "));
        let of_epoch = format!("epoch={} ", second.epoch);
        assert!(takeovers.any(|l| l.contains(&of_epoch)), "{trail}");
        Ok(())
    });
}

// An order of a former owner arrives after its successor has finished. An engine that checks
// fencing numbers refuses it. An engine that ignores them executes it, and its owner restores the
// ordered state.
#[rstest]
fn late_order_does_not_last() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(2)).await?;
        guard.fleet.set_faults("engine-1", &json!({ "ignore_fence": true })).await?;
        let late_order = json!({ "fence": 0, "order": "unload", "load": "m@2" }).to_string();
        let mut statuses = Vec::new();
        for engine in ["engine-0", "engine-1"] {
            ensure_done(&guard.fleet, &["load", engine, "m@2"]).await?;
            let address = guard.fleet.endpoints[engine];
            let body = late_order.clone().into_bytes();
            statuses.push(send(address, Method::POST, ORDERS_PATH, &[], body).await?.0.as_u16());
        }
        assert_eq!(statuses, [409, 200]);
        while received_orders(&guard.fleet, "engine-1").await?.len() < 3 {
            sleep(POLL_INTERVAL).await;
        }
        let state = |engine: &str| {
            let address = guard.fleet.endpoints[engine];
            async move { request_json::<EngineState>(address, Method::GET, ORDERS_PATH, None).await }
        };
        for engine in ["engine-0", "engine-1"] {
            assert!(state(engine).await?.loaded.contains(&ModelRef::parse("m@2")?), "{engine}");
        }
        Ok(())
    });
}

// Two operators send conflicting orders to one engine at the same time. One is told whose order
// came first; the engine does not alternate between the two.
#[rstest]
fn racing_orders_show_the_winner() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        guard.fleet.set_faults("platform", &json!({ "slow_ms": 50 })).await?;
        for round in 0..10 {
            let load = format!("m@{round}");
            let (one, two) = (["load", "engine-0", &load], ["unload", "engine-0", &load]);
            let anna = run_order(&guard.fleet, "anna", &one);
            let bert = run_order(&guard.fleet, "bert", &two);
            let (anna, bert) = tokio::try_join!(anna, bert)?;
            if anna.0 == 4 || bert.0 == 4 {
                let (loser, winner) = if anna.0 == 4 { (anna, "bert") } else { (bert, "anna") };
                assert!(loser.1.contains("5002") && loser.1.contains(winner), "{}", loser.1);
                return Ok(());
            }
        }
        anyhow::bail!("no order was refused in ten rounds")
    });
}

// An operator mistypes the engine, sends an order to a plain service, or names an invalid model.
#[rstest]
fn unknown_engine_is_refused() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1);
        let guard = fleet(&plan).await?;
        for order_arguments in [["load", "engine-7", "m"], ["load", "service-0", "m"]] {
            let (code, text) = run_order(&guard.fleet, "anna", &order_arguments).await?;
            assert!(code == 3 && text.contains("5011"), "{text}");
        }
        let (code, text) = run_order(&guard.fleet, "anna", &["load", "engine-0", "m@"]).await?;
        assert!(code == 3 && text.contains("5003"), "{text}");
        assert_eq!(
            order_status(&guard.fleet, "engine-0").await?.map(|e| e.progress),
            None::<Progress>
        );
        Ok(())
    });
}
