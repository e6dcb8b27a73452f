//! Processes that die or freeze, and links that stall or break, over the whole path.

use http::StatusCode;
use nix::sys::signal::Signal;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Caller, Fleet, Heard, Plan};
use nutmeggrade_fakes::relay::Link;
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run, until};

const TASK: &str = "permit-draft";
const LONG: &str = "a len=120";
const LENGTH: usize = 120;

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(2).with_relays().with_flag("stall", "700")
}

/// Hears the first tokens of a long answer at an entry.
async fn begin(caller: &Caller, entry: usize) -> anyhow::Result<Heard> {
    let mut heard = Heard::default();
    caller.listen(caller.entry(entry), TASK, LONG, &mut heard, Some(10)).await?;
    anyhow::ensure!(heard.failure.is_none(), "{heard:?}");
    Ok(heard)
}

/// Returns the engine that runs something.
async fn busy(fleet: &Fleet) -> anyhow::Result<String> {
    let mut found = None;
    let runs = async || {
        for n in 0..2 {
            let name = format!("engine-{n}");
            if fleet.log(&name).await.is_ok_and(|log| log["running"] != 0) {
                found = Some(name);
            }
        }
        Ok(found.is_some())
    };
    until("an engine runs something", runs).await?;
    found.ok_or_else(|| anyhow::anyhow!("no engine runs anything"))
}

/// Waits until an instance is in mid-answer: some tokens reached its caller.
async fn flowing(fleet: &Fleet) -> anyhow::Result<()> {
    let tokens = async || fleet.counter("node-0", "nutmeggrade_tokens_total ").await;
    until("tokens flow", async || Ok(tokens().await? >= 10.0)).await
}

fn assert_whole(heard: &Heard) {
    assert!(heard.is_whole(), "{heard:?}");
    assert_eq!(heard.tokens.len(), LENGTH);
}

// An instance dies in the middle of an answer. Its caller sees the connection break, asks another
// instance with the last event id, and the rest of the same answer follows.
#[rstest]
fn instance_killed_mid_stream() {
    run(async {
        let mut held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = Heard::default();
        let listening = caller.listen(caller.entry(0), TASK, LONG, &mut heard, None);
        let killing = async {
            flowing(&held.fleet).await?;
            held.fleet.process("node-0")?.kill()
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        assert!(!heard.done && heard.last.is_some() && heard.in_order(), "{heard:?}");
        caller.listen(caller.entry(1), TASK, LONG, &mut heard, None).await?;
        assert_whole(&heard);
        Ok(())
    });
}

// An instance freezes in the middle of an answer and wakes later. Its caller, who moved on, has the
// whole answer once; the instance that wakes serves on.
#[rstest]
fn instance_frozen_mid_stream() {
    run(async {
        let mut held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = begin(&caller, 0).await?;
        held.fleet.process("node-0")?.signal(Signal::SIGSTOP)?;
        caller.listen(caller.entry(1), TASK, LONG, &mut heard, None).await?;
        held.fleet.process("node-0")?.signal(Signal::SIGCONT)?;
        assert_whole(&heard);
        let again = async || {
            let mut heard = Heard::default();
            let got = caller.listen(caller.entry(0), TASK, LONG, &mut heard, None).await;
            Ok(got.is_ok() && heard.is_whole())
        };
        until("it serves again", again).await
    });
}

// An engine dies before it brought a token. The caller waits a little longer and gets a whole answer
// from the other engine.
#[rstest]
fn engine_killed_before_first_token() {
    run(async {
        let mut held = fleet(&plan()).await?;
        for n in 0..2 {
            held.fleet.fault(&format!("engine-{n}"), &json!({ "slow": 60 })).await?;
        }
        let caller = held.fleet.caller("staatsbos");
        let mut heard = Heard::default();
        let listening = caller.listen(caller.entry(0), TASK, LONG, &mut heard, None);
        let killing = async {
            let name = busy(&held.fleet).await?;
            held.fleet.process(&name)?.kill()?;
            let other = if name == "engine-0" { "engine-1" } else { "engine-0" };
            held.fleet.fault(other, &json!({ "slow": 1 })).await
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        assert_whole(&heard);
        Ok(())
    });
}

// An engine dies in the middle of an answer. No other engine can go on from there, so the caller is
// told at once with a number, and gets no word of another generation.
#[rstest]
fn engine_killed_after_first_token() {
    run(async {
        let mut held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = Heard::default();
        let listening = caller.listen(caller.entry(0), TASK, LONG, &mut heard, None);
        let killing = async {
            flowing(&held.fleet).await?;
            let name = busy(&held.fleet).await?;
            held.fleet.process(&name)?.kill()
        };
        let (listened, killed) = tokio::join!(listening, killing);
        killed?;
        listened?;
        let failure: Failure = serde_json::from_value(heard.failure.clone().unwrap_or_default())?;
        assert_eq!((failure.code, failure.run), (Code::StreamLost, RunStatus::Ran));
        assert!(heard.in_order() && !heard.done, "{heard:?}");
        Ok(())
    });
}

// The link to an engine stalls without closing in the middle of an answer, and comes back. The
// stream pauses and goes on, nothing twice and nothing missing.
#[rstest]
fn engine_link_stalls_mid_stream() {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = Heard::default();
        let listening = caller.listen(caller.entry(0), TASK, LONG, &mut heard, None);
        let stalling = async {
            flowing(&held.fleet).await?;
            let name = busy(&held.fleet).await?;
            held.fleet.link(&name)?.set(Link::Stalled);
            let resumed = async || {
                let text = held.fleet.metrics("node-0").await?;
                Ok(!text.contains("nutmeggrade_resumes_total 0"))
            };
            until("the stall is noticed", resumed).await?;
            held.fleet.link(&name)?.set(Link::Open);
            anyhow::Ok(())
        };
        let (listened, stalled) = tokio::join!(listening, stalling);
        stalled?;
        listened?;
        assert_whole(&heard);
        Ok(())
    });
}

// Every connection to both engines is cut after so many bytes, in the middle of an event as well as
// between two. Each answer still is whole, taken up again as often as needed.
fn answers_cut_after(bytes: u64) {
    run(async {
        let held = fleet(&plan()).await?;
        for n in 0..2 {
            held.fleet.link(&format!("engine-{n}"))?.set(Link::CutAnswer(bytes));
        }
        let heard = held.fleet.caller("staatsbos").stream(0, TASK, LONG).await?;
        assert_whole(&heard);
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

// The link to a plain service is cut at some byte of the call or of its answer. If the call may not
// be repeated, what the caller is told agrees with what the service ran, and a retry with the same
// key never runs it again.
fn call_is_cut(link: Link) {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        held.fleet.link("service-0")?.set(link);
        let (_, answer) = caller.operation(0, "issue-permit", Some("k1"), "plot-1").await?;
        let log = held.fleet.log("service-0").await?;
        let ran = log.get("issue-permit/plot-1").is_some();
        let failure: Failure = serde_json::from_value(answer)?;
        assert!(failure.run != RunStatus::NotRun || !ran, "{failure}: it ran");
        held.fleet.link("service-0")?.set(Link::Open);
        let (status, answer) = caller.operation(1, "issue-permit", Some("k1"), "plot-1").await?;
        let log = held.fleet.log("service-0").await?;
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

// The platform can be reached, but no answer comes back any more. Streams go on and idempotent calls
// are served; a call that may not be repeated is refused and does not run, but nobody can tell of an
// earlier attempt with its key, so the refusal doesn't say "not run".
#[rstest]
fn platform_link_stalls() {
    run(async {
        let held = fleet(&plan().with_flag("platform-wait", "300")).await?;
        let caller = held.fleet.caller("staatsbos");
        held.fleet.link("platform")?.set(Link::Stalled);
        let heard = caller.stream(0, TASK, LONG).await?;
        assert_whole(&heard);
        let (status, _) = caller.operation(1, "lookup-permit", None, "plot-1").await?;
        assert_eq!(status, StatusCode::OK);
        let (_, answer) = caller.operation(2, "issue-permit", Some("k"), "plot-1").await?;
        let failure: Failure = serde_json::from_value(answer)?;
        assert_eq!((failure.code, failure.run), (Code::PlatformDown, RunStatus::Unknown));
        held.fleet.link("platform")?.set(Link::Open);
        let log = held.fleet.log("service-0").await?;
        assert!(log.get("issue-permit/plot-1").is_none(), "{log}");
        Ok(())
    });
}
