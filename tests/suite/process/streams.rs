//! Streams stay complete and in order while engines, links and instances fail.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use nutmeggrade_fakes::fleet::{Fleet, MODEL, Plan, StreamOutput};
use nutmeggrade_fakes::http::send;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::support::{fleet, run, until};

const TASK: &str = "permit-draft";
const PATIENCE: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(50);

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(2).with_flag("stall", "700")
}

async fn fault_engines(fleet: &Fleet, faults: &Value) -> anyhow::Result<()> {
    for name in ["engine-0", "engine-1"] {
        fleet.set_faults(name, faults).await?;
    }
    Ok(())
}

async fn running_count(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut sum = 0;
    for name in ["engine-0", "engine-1"] {
        sum += fleet.log(name).await?["running"].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

async fn started_count(fleet: &Fleet) -> anyhow::Result<usize> {
    let mut sum = 0;
    for name in ["engine-0", "engine-1"] {
        sum += fleet.log(name).await?["runs"].as_object().map_or(0, serde_json::Map::len);
    }
    Ok(sum)
}

async fn until_running(fleet: &Fleet, wanted: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    while running_count(fleet).await? != wanted {
        anyhow::ensure!(
            start.elapsed() < PATIENCE,
            "the number of generations never became {wanted}"
        );
        sleep(PAUSE).await;
    }
    Ok(())
}

/// Waits until an instance has sent a number of tokens to clients.
async fn until_tokens_sent(fleet: &Fleet, node: &str, wanted: u64) -> anyhow::Result<()> {
    until("tokens reach clients", async || {
        let text = fleet.metrics(node).await?;
        let line = text.lines().find_map(|l| l.strip_prefix("nutmeggrade_tokens_total "));
        Ok(line.and_then(|n| n.parse().ok()).is_some_and(|n: u64| n >= wanted))
    })
    .await
}

fn stays_whole(faults: &Value) {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let stream = caller.stream(0, TASK, "a len=120");
        let (received, set) = futures::join!(stream, async {
            until_running(&guard.fleet, 1).await?;
            fault_engines(&guard.fleet, faults).await
        });
        set?;
        let received = received?;
        assert!(received.is_whole(), "{received:?}");
        assert_eq!(received.tokens.len(), 120);
        assert_eq!(started_count(&guard.fleet).await?, 1, "more than one generation");
        Ok(())
    });
}

// The stream of an engine breaks, stalls without closing, repeats tokens, carries tokens of another
// generation, or starts over when it is resumed. The client gets each token once.
cases!(stays_whole {
    cut: &json!({ "cut_after": 10 });
    cut_at_once: &json!({ "cut_after": 0 });
    stalled: &json!({ "stall_after": 10 });
    repeated: &json!({ "duplicate": true });
    crossed: &json!({ "cross": true });
    cut_and_rewound: &json!({ "cut_after": 10, "rewind": true });
    cut_crossed_and_rewound: &json!({ "cut_after": 10, "cross": true, "rewind": true });
});

// An engine accepts a generation and never responds. Another engine takes it over.
#[rstest]
fn hanging_engine_is_replaced() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("engine-0", &json!({ "hang": true })).await?;
        for n in 0..4 {
            let received = guard.fleet.caller("staatsbos").stream(n, TASK, "a len=5").await?;
            assert!(received.is_whole(), "{received:?}");
        }
        Ok(())
    });
}

// An engine dies in the middle of an answer. The stream ends with an error code and the statement
// that the request ran; no token of another generation is appended.
#[rstest]
fn dead_engine_ends_the_stream() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let listen = caller.read_stream(caller.entry(0), TASK, "a len=4000", &mut received, None);
        let (ended, killed) = futures::join!(listen, async {
            until_running(&guard.fleet, 1).await?;
            sleep(Duration::from_millis(300)).await;
            for name in ["engine-0", "engine-1"] {
                guard.fleet.process(name)?.kill()?;
            }
            anyhow::Ok(())
        });
        killed?;
        ended?;
        assert!(received.in_order() && !received.done, "{received:?}");
        let failure = received.failure.unwrap_or_default();
        assert_eq!((&failure["code"], &failure["run"]), (&json!(3003), &json!("ran")));
        Ok(())
    });
}

// The connection breaks between the last token and the end of the stream. Resuming after the last
// token ends the stream at once, at any instance.
#[rstest]
fn resumes_after_the_last_token() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        caller.read_stream(caller.entry(0), TASK, "a len=9", &mut received, Some(9)).await?;
        assert!(!received.done);
        caller.read_stream(caller.entry(1), TASK, "a len=9", &mut received, None).await?;
        assert!(received.is_whole() && received.failure.is_none(), "{received:?}");
        assert_eq!(received.tokens.len(), 9);
        Ok(())
    });
}

// A client disconnects and does not come back. Its generation would occupy the memory of the engine
// for thousands of tokens; it is cancelled after a grace period.
#[rstest]
fn generation_of_a_caller_that_left_is_cancelled() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        caller.read_stream(caller.entry(0), TASK, "a len=8000", &mut received, Some(5)).await?;
        assert_eq!(running_count(&guard.fleet).await?, 1);
        until_running(&guard.fleet, 0).await
    });
}

// A client disconnects before its first token, or from an answer that it can't resume.
#[rstest]
fn unresumable_generation_is_cancelled_at_once() {
    run(async {
        let guard = fleet(&plan()).await?;
        let entry = guard.fleet.caller("staatsbos").entry(0);
        let body = json!({ "model": MODEL, "prompt": "a len=8000" }).to_string().into_bytes();
        let headers = [("nutmeggrade-workspace", "staatsbos"), ("nutmeggrade-task", TASK)];
        let answer = send(entry, Method::POST, "/v1/completions", &headers, body);
        tokio::select! {
            _ = answer => anyhow::bail!("answered too soon"),
            running_count = until_running(&guard.fleet, 1) => running_count?,
        }
        until_running(&guard.fleet, 0).await
    });
}

// A client loses its connection and resumes at another instance. The first instance must not cancel
// the generation.
#[rstest]
fn resumed_generation_is_not_cancelled() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let prompt = "a len=1100";
        caller.read_stream(caller.entry(0), TASK, prompt, &mut received, Some(5)).await?;
        caller.read_stream(caller.entry(1), TASK, prompt, &mut received, None).await?;
        assert!(received.is_whole(), "{:?} {:?}", received.tokens.len(), received.failure);
        assert_eq!(received.tokens.len(), 1100);
        Ok(())
    });
}

// The instance is killed in the middle of an answer; the client resumes at another one.
#[rstest]
fn killed_instance_loses_no_token() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let stream = caller.stream(0, TASK, "a len=150");
        let (received, killed) = futures::join!(stream, async {
            until_tokens_sent(&guard.fleet, "node-0", 10).await?;
            guard.fleet.process("node-0")?.signal(Signal::SIGKILL)
        });
        killed?;
        let received = received?;
        assert!(received.is_whole(), "{received:?}");
        assert_eq!(received.tokens.len(), 150);
        Ok(())
    });
}

// A workspace uses an event id of another workspace. It gets nothing of the answer.
#[rstest]
fn event_id_of_another_workspace_is_refused() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        caller.read_stream(caller.entry(0), TASK, "a len=300", &mut received, Some(5)).await?;
        let mut rival = StreamOutput { last: received.last, ..StreamOutput::default() };
        let caller = guard.fleet.caller("rival");
        caller.read_stream(caller.entry(1), TASK, "a len=300", &mut rival, None).await?;
        assert_eq!(rival.failure.unwrap_or_default()["code"], 1010);
        assert!(rival.tokens.is_empty());
        Ok(())
    });
}
