//! Non-idempotent calls run at most once, checked against the service's own log.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Caller, Fleet, Plan};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::support::{fleet, run};

const ISSUE: &str = "issue-permit";
const KEY: Option<&str> = Some("k1");
const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(1).with_flag("silence", "1000")
}

async fn ran(fleet: &Fleet) -> anyhow::Result<u64> {
    let log = fleet.log("service-0").await?;
    Ok(log.get("issue-permit/plot-1").and_then(Value::as_u64).unwrap_or(0))
}

fn code(answer: &Value) -> Option<u64> {
    answer.get("code").and_then(Value::as_u64)
}

/// Asks again and again until the answer is no longer one of `passing`.
async fn settled(caller: &Caller, n: usize, passing: &[Code]) -> anyhow::Result<(u16, Value)> {
    let start = Instant::now();
    loop {
        let (status, answer) = caller.operation(n, ISSUE, KEY, "plot-1").await?;
        let passes = passing.iter().any(|c| code(&answer) == Some(u64::from(c.number())));
        if !passes {
            return Ok((status.as_u16(), answer));
        }
        anyhow::ensure!(start.elapsed() < PATIENCE, "still {answer}");
        sleep(PAUSE).await;
    }
}

async fn until_ran(fleet: &Fleet) -> anyhow::Result<()> {
    let start = Instant::now();
    while ran(fleet).await? == 0 {
        anyhow::ensure!(start.elapsed() < PATIENCE, "the call never ran");
        sleep(PAUSE).await;
    }
    Ok(())
}

// A household's client loses patience and closes its connection while its permit is issued. The
// outcome is recorded all the same, and the retry at another instance gets it.
#[rstest]
fn answer_waits_for_a_caller_that_left() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "after_ms": 600 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let call = caller.operation(0, ISSUE, KEY, "plot-1");
        assert!(timeout(Duration::from_millis(200), call).await.is_err(), "answered too soon");
        until_ran(&held.fleet).await?;
        let (status, answer) = settled(&caller, 1, &[Code::InProgress]).await?;
        assert_eq!((status, &answer["number"]), (200, &json!(1)));
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// A client sends one permit at three instances at once.
#[rstest]
fn three_instances_at_once_run_it_once() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "before_ms": 300 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let ask = |n| caller.operation(n, ISSUE, KEY, "plot-1");
        let (a, b, c) = futures::try_join!(ask(0), ask(1), ask(2))?;
        let whole = [&a, &b, &c].iter().filter(|(s, _)| *s == StatusCode::OK).count();
        assert_eq!(whole, 1, "{a:?} {b:?} {c:?}");
        for n in 0..3 {
            let (status, answer) = settled(&caller, n, &[Code::InProgress]).await?;
            assert_eq!((status, &answer["number"]), (200, &json!(1)));
        }
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// The instance dies while the service issues the permit, and a new one starts under its name. Nobody
// can tell any more how the call ended: the retry says so, and never that it is still running.
#[rstest]
fn killed_instance_leaves_unknown() {
    run(async {
        let mut held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "after_ms": 60_000 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let (_, died) = futures::join!(caller.operation(0, ISSUE, KEY, "plot-1"), async {
            until_ran(&held.fleet).await?;
            held.fleet.process("node-0")?.kill()
        });
        died?;
        held.fleet.start_node(0)?;
        held.fleet.wait_until_ready().await?;
        let caller = held.fleet.caller("staatsbos");
        for n in 0..3 {
            let (_, answer) = settled(&caller, n, &[Code::InProgress, Code::NotReady]).await?;
            assert_eq!(code(&answer), Some(3005), "{answer}");
            assert_eq!(answer["run"], "unknown");
        }
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// The platform goes away just after the call was claimed. The caller gets its answer at once. A retry
// during the outage must not hear "not run", or a household would ask with a new key and book its
// plot twice; when the platform is back a retry at another instance gets the same answer.
#[rstest]
fn outcome_is_recorded_after_an_outage() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "after_ms": 500 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let (first, down) = futures::join!(caller.operation(0, ISSUE, KEY, "plot-1"), async {
            until_ran(&held.fleet).await?;
            held.fleet.set_faults("platform", &json!({ "down": true })).await
        });
        down?;
        let (status, answer) = first?;
        assert_eq!(status, StatusCode::OK);
        let (_, refused) = caller.operation(1, ISSUE, KEY, "plot-1").await?;
        assert_eq!(code(&refused), Some(4001), "{refused}");
        assert_eq!(refused["run"], "unknown", "{refused}");
        held.fleet.set_faults("platform", &json!({})).await?;
        let passing = [Code::InProgress, Code::PlatformDown];
        let (status, again) = settled(&caller, 1, &passing).await?;
        assert_eq!((status, again), (200, answer));
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// The platform loses the answers of its writes, so that no attempt hears whether it owns the record.
#[rstest]
fn lost_platform_answers_run_it_once() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("platform", &json!({ "lose": 4 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let (status, first) = caller.operation(0, ISSUE, KEY, "plot-1").await?;
        assert_eq!(status, StatusCode::OK, "{first}");
        let (status, again) = settled(&caller, 1, &[Code::InProgress]).await?;
        assert_eq!((status, again), (200, first));
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// The instance is frozen while its call runs. Its peers take it for dead and say that nobody can
// tell; when it wakes it records the outcome, and the next retry gets it. It never runs again.
#[rstest]
fn frozen_instance_wakes_to_one_run() {
    run(async {
        let mut held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "after_ms": 400 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let first = caller.operation(0, ISSUE, KEY, "plot-1");
        let (first, woken) = futures::join!(first, async {
            until_ran(&held.fleet).await?;
            held.fleet.process("node-0")?.signal(Signal::SIGSTOP)?;
            let (_, answer) = settled(&caller, 1, &[Code::InProgress]).await?;
            held.fleet.process("node-0")?.signal(Signal::SIGCONT)?;
            anyhow::Ok(answer)
        });
        assert_eq!(code(&woken?), Some(3005));
        let (status, answer) = first?;
        assert_eq!(status, StatusCode::OK, "{answer}");
        let passing = [Code::InProgress, Code::OutcomeUnknown];
        let (status, again) = settled(&caller, 2, &passing).await?;
        assert_eq!((status, again), (200, answer));
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// The service refuses before it runs anything. The refusal says "not run", and the key is free.
#[rstest]
fn not_run_gives_the_key_back() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("service-0", &json!({ "refuse": true })).await?;
        let caller = held.fleet.caller("staatsbos");
        let (_, refused) = caller.operation(0, ISSUE, KEY, "plot-1").await?;
        assert_eq!(refused["run"], "not_run", "{refused}");
        assert_eq!(ran(&held.fleet).await?, 0);
        held.fleet.set_faults("service-0", &json!({})).await?;
        let (status, _) = caller.operation(1, ISSUE, KEY, "plot-1").await?;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(ran(&held.fleet).await?, 1);
        Ok(())
    });
}

// Two workspaces happen to use the same key for different permits. Each gets its own.
#[rstest]
fn keys_are_per_workspace() {
    run(async {
        let held = fleet(&plan()).await?;
        let (_, one) = held.fleet.caller("staatsbos").operation(0, ISSUE, KEY, "plot-1").await?;
        let (_, two) = held.fleet.caller("rival").operation(1, ISSUE, KEY, "plot-2").await?;
        assert_eq!((&one["subject"], &two["subject"]), (&json!("plot-1"), &json!("plot-2")));
        Ok(())
    });
}
