//! Calls that may not be repeated run at most once, checked against the log of the service.

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

async fn run_count(fleet: &Fleet) -> anyhow::Result<u64> {
    let log = fleet.log("service-0").await?;
    Ok(log.get("issue-permit/plot-1").and_then(Value::as_u64).unwrap_or(0))
}

fn code(answer: &Value) -> Option<u64> {
    answer.get("code").and_then(Value::as_u64)
}

/// Repeats the call until the code of the answer is none of `transient`.
async fn until_settled(
    caller: &Caller,
    n: usize,
    transient: &[Code],
) -> anyhow::Result<(u16, Value)> {
    let start = Instant::now();
    loop {
        let (status, answer) = caller.operation(n, ISSUE, KEY, "plot-1").await?;
        let is_transient = transient.iter().any(|c| code(&answer) == Some(u64::from(c.number())));
        if !is_transient {
            return Ok((status.as_u16(), answer));
        }
        anyhow::ensure!(start.elapsed() < PATIENCE, "still {answer}");
        sleep(PAUSE).await;
    }
}

async fn until_ran(fleet: &Fleet) -> anyhow::Result<()> {
    let start = Instant::now();
    while run_count(fleet).await? == 0 {
        anyhow::ensure!(start.elapsed() < PATIENCE, "the call never ran");
        sleep(PAUSE).await;
    }
    Ok(())
}

// A client closes its connection while its call runs. The outcome is recorded anyway, and a retry
// at another instance gets it.
#[rstest]
fn outcome_is_recorded_after_the_caller_left() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "after_ms": 600 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let call = caller.operation(0, ISSUE, KEY, "plot-1");
        assert!(timeout(Duration::from_millis(200), call).await.is_err(), "answered too soon");
        until_ran(&guard.fleet).await?;
        let (status, answer) = until_settled(&caller, 1, &[Code::InProgress]).await?;
        assert_eq!((status, &answer["number"]), (200, &json!(1)));
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// A client sends the same call to three instances at once.
#[rstest]
fn three_instances_at_once_run_it_once() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "before_ms": 300 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let ask = |n| caller.operation(n, ISSUE, KEY, "plot-1");
        let (a, b, c) = futures::try_join!(ask(0), ask(1), ask(2))?;
        let ok_count = [&a, &b, &c].iter().filter(|(s, _)| *s == StatusCode::OK).count();
        assert_eq!(ok_count, 1, "{a:?} {b:?} {c:?}");
        for n in 0..3 {
            let (status, answer) = until_settled(&caller, n, &[Code::InProgress]).await?;
            assert_eq!((status, &answer["number"]), (200, &json!(1)));
        }
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// The instance dies while the service runs the call, and a new one starts under its name. The
// outcome of the call can't be determined any more: a retry is answered with an unknown outcome, and
// never with a call in progress.
#[rstest]
fn killed_instance_leaves_unknown() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "after_ms": 60_000 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let (_, killed) = futures::join!(caller.operation(0, ISSUE, KEY, "plot-1"), async {
            until_ran(&guard.fleet).await?;
            guard.fleet.process("node-0")?.kill()
        });
        killed?;
        guard.fleet.start_node(0)?;
        guard.fleet.wait_until_ready().await?;
        let caller = guard.fleet.caller("staatsbos");
        for n in 0..3 {
            let (_, answer) =
                until_settled(&caller, n, &[Code::InProgress, Code::NotReady]).await?;
            assert_eq!(code(&answer), Some(3005), "{answer}");
            assert_eq!(answer["run"], "unknown");
        }
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// The platform goes down just after the call was claimed. The client gets its answer at once. A
// retry during the outage must not get "not run", or the client would use a new key and the call
// would run twice; after the outage a retry at another instance gets the same answer.
#[rstest]
fn outcome_is_recorded_after_an_outage() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "after_ms": 500 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let (first, down) = futures::join!(caller.operation(0, ISSUE, KEY, "plot-1"), async {
            until_ran(&guard.fleet).await?;
            guard.fleet.set_faults("platform", &json!({ "down": true })).await
        });
        down?;
        let (status, answer) = first?;
        assert_eq!(status, StatusCode::OK);
        let (_, refused) = caller.operation(1, ISSUE, KEY, "plot-1").await?;
        assert_eq!(code(&refused), Some(4001), "{refused}");
        assert_eq!(refused["run"], "unknown", "{refused}");
        guard.fleet.set_faults("platform", &json!({})).await?;
        let transient = [Code::InProgress, Code::PlatformDown];
        let (status, again) = until_settled(&caller, 1, &transient).await?;
        assert_eq!((status, again), (200, answer));
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// The platform loses the answers to its writes, so that an attempt can't tell from them whether it
// owns the record.
#[rstest]
fn lost_platform_answers_run_it_once() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("platform", &json!({ "lose": 4 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let (status, first) = caller.operation(0, ISSUE, KEY, "plot-1").await?;
        assert_eq!(status, StatusCode::OK, "{first}");
        let (status, again) = until_settled(&caller, 1, &[Code::InProgress]).await?;
        assert_eq!((status, again), (200, first));
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// The instance is frozen while its call runs. Its peers consider it dead and report an unknown
// outcome. When it continues, it records the outcome, and the next retry gets it. The call never
// runs again.
#[rstest]
fn frozen_instance_runs_the_call_once() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "after_ms": 400 })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let first = caller.operation(0, ISSUE, KEY, "plot-1");
        let (first, retry) = futures::join!(first, async {
            until_ran(&guard.fleet).await?;
            guard.fleet.process("node-0")?.signal(Signal::SIGSTOP)?;
            let (_, answer) = until_settled(&caller, 1, &[Code::InProgress]).await?;
            guard.fleet.process("node-0")?.signal(Signal::SIGCONT)?;
            anyhow::Ok(answer)
        });
        assert_eq!(code(&retry?), Some(3005));
        let (status, answer) = first?;
        assert_eq!(status, StatusCode::OK, "{answer}");
        let transient = [Code::InProgress, Code::OutcomeUnknown];
        let (status, again) = until_settled(&caller, 2, &transient).await?;
        assert_eq!((status, again), (200, answer));
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// The service refuses the call before it runs anything. The refusal says "not run", and the key can
// be used again.
#[rstest]
fn not_run_gives_the_key_back() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("service-0", &json!({ "refuse": true })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let (_, refused) = caller.operation(0, ISSUE, KEY, "plot-1").await?;
        assert_eq!(refused["run"], "not_run", "{refused}");
        assert_eq!(run_count(&guard.fleet).await?, 0);
        guard.fleet.set_faults("service-0", &json!({})).await?;
        let (status, _) = caller.operation(1, ISSUE, KEY, "plot-1").await?;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(run_count(&guard.fleet).await?, 1);
        Ok(())
    });
}

// Two workspaces use the same key for different calls. Each gets its own answer.
#[rstest]
fn keys_are_per_workspace() {
    run(async {
        let guard = fleet(&plan()).await?;
        let (_, one) = guard.fleet.caller("staatsbos").operation(0, ISSUE, KEY, "plot-1").await?;
        let (_, two) = guard.fleet.caller("rival").operation(1, ISSUE, KEY, "plot-2").await?;
        assert_eq!((&one["subject"], &two["subject"]), (&json!("plot-1"), &json!("plot-2")));
        Ok(())
    });
}
