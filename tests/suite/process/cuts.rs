//! Processes that die or freeze, and links that stall or break, on the complete request path.

use anyhow::Context;
use http::StatusCode;
use nix::sys::signal::Signal;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Caller, Fleet, Plan, StreamOutput};
use nutmeggrade_fakes::relay::Link;
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run, until};

const TASK: &str = "permit-draft";
const LONG_PROMPT: &str = "a len=120";
const TOKEN_COUNT: usize = 120;

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(2).with_relays().with_flag("stall", "700")
}

/// Receives the first tokens of a long answer from an instance.
async fn receive_first_tokens(caller: &Caller, entry: usize) -> anyhow::Result<StreamOutput> {
    let mut received = StreamOutput::default();
    caller.read_stream(caller.entry(entry), TASK, LONG_PROMPT, &mut received, Some(10)).await?;
    anyhow::ensure!(received.failure.is_none(), "{received:?}");
    Ok(received)
}

/// Waits until an engine runs a generation and returns its name.
async fn busy_engine(fleet: &Fleet) -> anyhow::Result<String> {
    let mut engine = None;
    let runs = async || {
        for n in 0..2 {
            let name = format!("engine-{n}");
            if fleet.log(&name).await.is_ok_and(|log| log["running"] != 0) {
                engine = Some(name);
            }
        }
        Ok(engine.is_some())
    };
    until("an engine runs a generation", runs).await?;
    engine.ok_or_else(|| anyhow::anyhow!("no engine runs a generation"))
}

/// Waits until `node-0` has sent some tokens to its client.
async fn until_streaming(fleet: &Fleet) -> anyhow::Result<()> {
    let tokens = async || fleet.counter("node-0", "nutmeggrade_tokens_total ").await;
    until("tokens reach the client", async || Ok(tokens().await? >= 10.0)).await
}

fn assert_complete(received: &StreamOutput) {
    assert!(received.is_whole(), "{received:?}");
    assert_eq!(received.tokens.len(), TOKEN_COUNT);
}

// An instance dies in the middle of an answer. Its client loses the connection, resumes at another
// instance with the last event id, and gets the rest of the same answer.
#[rstest]
fn instance_killed_mid_stream() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let listening = caller.read_stream(caller.entry(0), TASK, LONG_PROMPT, &mut received, None);
        let killing = async {
            until_streaming(&guard.fleet).await?;
            guard.fleet.process("node-0")?.kill()
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        assert!(!received.done && received.last.is_some() && received.in_order(), "{received:?}");
        caller.read_stream(caller.entry(1), TASK, LONG_PROMPT, &mut received, None).await?;
        assert_complete(&received);
        Ok(())
    });
}

// An instance freezes in the middle of an answer and continues later. Its client resumed at another
// instance and has the complete answer once; the frozen instance serves again after it continues.
#[rstest]
fn instance_frozen_mid_stream() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = receive_first_tokens(&caller, 0).await?;
        guard.fleet.process("node-0")?.signal(Signal::SIGSTOP)?;
        caller.read_stream(caller.entry(1), TASK, LONG_PROMPT, &mut received, None).await?;
        guard.fleet.process("node-0")?.signal(Signal::SIGCONT)?;
        assert_complete(&received);
        let mut last = String::new();
        let is_served = async || {
            let mut received = StreamOutput::default();
            let result =
                caller.read_stream(caller.entry(0), TASK, LONG_PROMPT, &mut received, None).await;
            last = format!("{result:?} {received:?}");
            Ok(result.is_ok() && received.is_whole())
        };
        let served = until("it serves again", is_served).await;
        served.with_context(|| last)
    });
}

// An engine dies before its first token. The client waits a little longer and gets a complete
// answer from the other engine.
#[rstest]
fn engine_killed_before_first_token() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        for n in 0..2 {
            guard.fleet.set_faults(&format!("engine-{n}"), &json!({ "slow": 60 })).await?;
        }
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let listening = caller.read_stream(caller.entry(0), TASK, LONG_PROMPT, &mut received, None);
        let killing = async {
            let name = busy_engine(&guard.fleet).await?;
            guard.fleet.process(&name)?.kill()?;
            let other = if name == "engine-0" { "engine-1" } else { "engine-0" };
            guard.fleet.set_faults(other, &json!({ "slow": 1 })).await
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        assert_complete(&received);
        Ok(())
    });
}

// An engine dies in the middle of an answer. No other engine can continue the generation, so the
// client gets an error code at once, and no token of another generation.
#[rstest]
fn engine_killed_after_first_token() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let listening = caller.read_stream(caller.entry(0), TASK, LONG_PROMPT, &mut received, None);
        let killing = async {
            until_streaming(&guard.fleet).await?;
            let name = busy_engine(&guard.fleet).await?;
            guard.fleet.process(&name)?.kill()
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        let failure: Failure =
            serde_json::from_value(received.failure.clone().unwrap_or_default())?;
        assert_eq!((failure.code, failure.run), (Code::StreamLost, RunStatus::Ran));
        assert!(received.in_order() && !received.done, "{received:?}");
        Ok(())
    });
}

// The link to an engine stalls without closing in the middle of an answer, and recovers. The stream
// pauses and continues without repeats and gaps.
#[rstest]
fn engine_link_stalls_mid_stream() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let listening = caller.read_stream(caller.entry(0), TASK, LONG_PROMPT, &mut received, None);
        let stalling = async {
            until_streaming(&guard.fleet).await?;
            let name = busy_engine(&guard.fleet).await?;
            guard.fleet.relay(&name)?.set(Link::Stalled);
            let resumed = async || {
                let text = guard.fleet.metrics("node-0").await?;
                Ok(!text.contains("nutmeggrade_resumes_total 0"))
            };
            until("the stream is resumed", resumed).await?;
            guard.fleet.relay(&name)?.set(Link::Open);
            anyhow::Ok(())
        };
        let (listened, stalled) = tokio::join!(listening, stalling);
        stalled?;
        listened?;
        assert_complete(&received);
        Ok(())
    });
}

// Every connection to both engines is cut after a number of bytes, within an event or between two.
// Each answer is complete, resumed as often as needed.
fn answers_cut_after(bytes: u64) {
    run(async {
        let guard = fleet(&plan()).await?;
        for n in 0..2 {
            guard.fleet.relay(&format!("engine-{n}"))?.set(Link::CutAnswer(bytes));
        }
        let received = guard.fleet.caller("staatsbos").stream(0, TASK, LONG_PROMPT).await?;
        assert_complete(&received);
        Ok(())
    });
}

cases! {
    answers_cut_after {
        within_an_early_event: 700;
        within_a_later_event: 2_499;
        within_the_end: 9_000;
    }
}

// The link to a plain service is cut at some byte of the call or of its answer. For a call that may
// not be repeated, the reported outcome agrees with what the service ran, and a retry with the same
// key never runs it again.
fn call_is_cut(link: Link) {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        guard.fleet.relay("service-0")?.set(link);
        let (_, answer) = caller.operation(0, "issue-permit", Some("k1"), "plot-1").await?;
        let log = guard.fleet.log("service-0").await?;
        let ran = log.get("issue-permit/plot-1").is_some();
        let failure: Failure = serde_json::from_value(answer)?;
        assert!(failure.run != RunStatus::NotRun || !ran, "{failure}: it ran");
        guard.fleet.relay("service-0")?.set(Link::Open);
        let (status, answer) = caller.operation(1, "issue-permit", Some("k1"), "plot-1").await?;
        let log = guard.fleet.log("service-0").await?;
        let runs = log.get("issue-permit/plot-1").and_then(serde_json::Value::as_u64);
        assert!(runs.unwrap_or(0) <= 1, "ran {runs:?} times");
        assert!(status != StatusCode::OK || runs == Some(1), "{answer}");
        assert!(failure.run != RunStatus::NotRun || status == StatusCode::OK, "{answer}");
        Ok(())
    });
}

cases! {
    call_is_cut {
        before_the_first_byte: Link::Closed;
        after_one_byte: Link::CutRequest(1);
        in_the_head: Link::CutRequest(40);
        in_the_body: Link::CutRequest(180);
        before_the_answer: Link::CutAnswer(0);
        in_the_answer_head: Link::CutAnswer(20);
        in_the_answer_body: Link::CutAnswer(130);
    }
}

// The platform accepts connections and no longer responds. Streams continue and idempotent calls
// are served. A call that may not be repeated is refused and does not run, but the refusal does not
// say "not run", because an earlier attempt with its key may have run.
#[rstest]
fn platform_link_stalls() {
    run(async {
        let guard = fleet(&plan().with_flag("platform-wait", "300")).await?;
        let caller = guard.fleet.caller("staatsbos");
        guard.fleet.relay("platform")?.set(Link::Stalled);
        let received = caller.stream(0, TASK, LONG_PROMPT).await?;
        assert_complete(&received);
        let (status, _) = caller.operation(1, "lookup-permit", None, "plot-1").await?;
        assert_eq!(status, StatusCode::OK);
        let (_, answer) = caller.operation(2, "issue-permit", Some("k"), "plot-1").await?;
        let failure: Failure = serde_json::from_value(answer)?;
        assert_eq!((failure.code, failure.run), (Code::PlatformDown, RunStatus::Unknown));
        guard.fleet.relay("platform")?.set(Link::Open);
        let log = guard.fleet.log("service-0").await?;
        assert!(log.get("issue-permit/plot-1").is_none(), "{log}");
        Ok(())
    });
}
