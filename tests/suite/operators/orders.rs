//! Orders to engines: given by one owner, within the weight store's rate, and read back.

use std::time::Duration;

use anyhow::Context;
use http::Method;
use nix::sys::signal::Signal;
use nutmeggrade_core::order::{EngineState, ModelRef, ORDERS_PATH, OrderStatus, Progress};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_fakes::http::{ask, send};
use nutmeggrade_platform::Platform;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::support::{fleet, run};

const POLL: Duration = Duration::from_millis(50);
/// A load of the stand-in, in milliseconds.
const LOAD_MS: i64 = 400;
/// Wall clocks are read in two processes and may step a little.
const STEP_MS: i64 = 100;

async fn order(fleet: &Fleet, who: &str, words: &[&str]) -> anyhow::Result<(i32, String)> {
    let rest = ["--who", who, "--why", "new version", "--wait", "60000"];
    fleet.operate(&[&["order"], words, &rest[..]].concat()).await
}

async fn done(fleet: &Fleet, words: &[&str]) -> anyhow::Result<()> {
    let (code, text) = order(fleet, "anna", words).await?;
    anyhow::ensure!(code == 0 && text.contains("progress=done"), "{words:?}: {code} {text}");
    Ok(())
}

/// Returns the orders that an engine saw, oldest first.
async fn seen(fleet: &Fleet, engine: &str) -> anyhow::Result<Vec<Value>> {
    let log = fleet.log(engine).await?;
    log["orders"].as_array().cloned().context("no orders")
}

async fn effect(fleet: &Fleet, engine: &str) -> anyhow::Result<Option<OrderStatus>> {
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
        done(&guard.fleet, &["load", "engine-0", "nutmeg-schrijvers@2"]).await?;
        done(&guard.fleet, &["load", "engine-0", "nutmeg-schrijvers@2+kozijn"]).await?;
        done(&guard.fleet, &["unload", "engine-0", "nutmeg-schrijvers@1"]).await?;
        done(&guard.fleet, &["role", "engine-0", "decode"]).await?;
        let orders = seen(&guard.fleet, "engine-0").await?;
        let names: Vec<_> = orders.iter().filter_map(|o| o["order"].as_str()).collect();
        assert_eq!(names, ["load", "load", "role"]);
        assert!(fences(&orders).iter().all(|f| *f > 0), "{orders:?}");
        let (code, text) = guard.fleet.operate(&["audit"]).await?;
        assert!(code == 0 && text.contains("order_sent"), "{text}");
        Ok(())
    });
}

// A new version is ordered on every engine at once. The weight store bears one load at a time, so
// they load one after another; together they would all crawl.
#[rstest]
fn weight_store_is_shared() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(2).with_engines(3)).await?;
        let engines = ["engine-0", "engine-1", "engine-2"];
        for engine in engines {
            guard.fleet.fault(engine, &json!({ "load_ms": LOAD_MS })).await?;
        }
        let [a, b, c] = engines.map(|e| ["load", e, "nutmeg-schrijvers@2"]);
        let one = |words| done(&guard.fleet, words);
        tokio::try_join!(one(&a), one(&b), one(&c))?;
        let mut starts = Vec::new();
        for engine in engines {
            let orders = seen(&guard.fleet, engine).await?;
            assert_eq!(orders.len(), 1, "{orders:?}");
            starts.extend(orders[0]["at_ms"].as_i64());
        }
        starts.sort_unstable();
        let apart = |pair: &[i64]| pair[1] - pair[0] >= LOAD_MS - STEP_MS;
        assert!(starts.windows(2).all(apart), "{starts:?}");
        Ok(())
    });
}

// The owner of an engine is frozen in the middle of a load. Another instance takes over, sees the
// load under way and does not start it again. The old owner wakes and believes it is still the one;
// the engine would obey it, so it must not send anything.
#[rstest]
fn owner_replaced_in_the_middle() {
    run(async {
        let mut guard = fleet(&Plan::default().with_nodes(3).with_engines(1)).await?;
        let faults = json!({ "ignore_fence": true, "load_ms": 1_500 });
        guard.fleet.fault("engine-0", &faults).await?;
        let words = ["load", "engine-0", "nutmeg-schrijvers@2"];
        let sent = async {
            loop {
                if seen(&guard.fleet, "engine-0").await?.len() == 1 {
                    break effect(&guard.fleet, "engine-0").await;
                }
                sleep(POLL).await;
            }
        };
        // The command is only needed to write the order; its wait is cut short.
        let rest = ["--who", "anna", "--why", "x", "--wait", "0"];
        let cut = [&["order"], &words[..], &rest[..]].concat();
        let give = guard.fleet.operate(&cut);
        let (_, first) = tokio::try_join!(give, sent)?;
        let first = first.context("no effect")?;
        let owner = first.instance.to_string();
        guard.fleet.process(&owner)?.signal(Signal::SIGSTOP)?;
        done(&guard.fleet, &words).await?;
        let second = effect(&guard.fleet, "engine-0").await?.context("no effect")?;
        assert!(second.instance != first.instance && second.epoch > first.epoch, "{second:?}");
        guard.fleet.process(&owner)?.signal(Signal::SIGCONT)?;
        done(&guard.fleet, &["role", "engine-0", "decode"]).await?;
        let orders = seen(&guard.fleet, "engine-0").await?;
        let names: Vec<_> = orders.iter().filter_map(|o| o["order"].as_str()).collect();
        assert_eq!(names, ["load", "role"], "{orders:?}");
        assert!(fences(&orders).is_sorted(), "{orders:?}");
        let (_, trail) = guard.fleet.operate(&["audit"]).await?;
        let mut taken = trail.lines().filter(|l| l.starts_with("took_over "));
        let of_epoch = format!("epoch={} ", second.epoch);
        assert!(taken.any(|l| l.contains(&of_epoch)), "{trail}");
        Ok(())
    });
}

// An order of an earlier owner arrives late, after its successor is done. An engine that checks
// fencing numbers refuses it. One that ignores them obeys, and its owner brings it back.
#[rstest]
fn late_order_does_not_last() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(2)).await?;
        guard.fleet.fault("engine-1", &json!({ "ignore_fence": true })).await?;
        let late = json!({ "fence": 0, "order": "unload", "load": "m@2" }).to_string();
        let mut statuses = Vec::new();
        for engine in ["engine-0", "engine-1"] {
            done(&guard.fleet, &["load", engine, "m@2"]).await?;
            let address = guard.fleet.endpoints[engine];
            let body = late.clone().into_bytes();
            statuses.push(send(address, Method::POST, ORDERS_PATH, &[], body).await?.0.as_u16());
        }
        assert_eq!(statuses, [409, 200]);
        while seen(&guard.fleet, "engine-1").await?.len() < 3 {
            sleep(POLL).await;
        }
        let state = |engine: &str| {
            let address = guard.fleet.endpoints[engine];
            async move { ask::<EngineState>(address, Method::GET, ORDERS_PATH, None).await }
        };
        for engine in ["engine-0", "engine-1"] {
            assert!(state(engine).await?.loaded.contains(&ModelRef::parse("m@2")?), "{engine}");
        }
        Ok(())
    });
}

// Two operators want different things of one engine in the same moment. One is told whose order came
// first; the engine does not flip between the two.
#[rstest]
fn racing_orders_show_the_winner() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        guard.fleet.fault("platform", &json!({ "slow_ms": 50 })).await?;
        for round in 0..10 {
            let load = format!("m@{round}");
            let (one, two) = (["load", "engine-0", &load], ["unload", "engine-0", &load]);
            let anna = order(&guard.fleet, "anna", &one);
            let bert = order(&guard.fleet, "bert", &two);
            let (anna, bert) = tokio::try_join!(anna, bert)?;
            if anna.0 == 4 || bert.0 == 4 {
                let (loser, winner) = if anna.0 == 4 { (anna, "bert") } else { (bert, "anna") };
                assert!(loser.1.contains("5002") && loser.1.contains(winner), "{}", loser.1);
                return Ok(());
            }
        }
        anyhow::bail!("no race in ten rounds")
    });
}

// An operator mistypes the engine, orders a plain service, or names nothing that can be loaded.
#[rstest]
fn unknown_engine_is_refused() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1);
        let guard = fleet(&plan).await?;
        for words in [["load", "engine-7", "m"], ["load", "service-0", "m"]] {
            let (code, text) = order(&guard.fleet, "anna", &words).await?;
            assert!(code == 3 && text.contains("5011"), "{text}");
        }
        let (code, text) = order(&guard.fleet, "anna", &["load", "engine-0", "m@"]).await?;
        assert!(code == 3 && text.contains("5003"), "{text}");
        assert_eq!(effect(&guard.fleet, "engine-0").await?.map(|e| e.progress), None::<Progress>);
        Ok(())
    });
}
