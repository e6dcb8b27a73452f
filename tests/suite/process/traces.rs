//! Traces from files, replayed on real processes and compared with their expected outcomes.

mod trace;

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use futures::future::try_join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use nutmeggrade_fakes::fleet::{Caller, Fleet};
use serde_json::Value;
use tokio::time::{Instant, sleep_until};

use self::trace::{Action, Step, Trace};
use crate::support::{fleet, run};

// A trace lists requests, failures and their times. Its outcome must not depend on the speed of the
// machine: the number of complete streams, the code of each call, and how often each call ran.
fn replay(file: &str) {
    run(async {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces").join(file);
        let text = std::fs::read_to_string(path).context("read trace")?;
        let trace: Trace = serde_json::from_str(&text).context("decode trace")?;
        let mut guard = fleet(&trace.plan()).await?;
        let caller = guard.fleet.caller("replay");
        let (requests, failures): (Vec<_>, Vec<_>) =
            trace.steps.iter().partition(|s| s.is_request());
        let start = Instant::now();
        let responses =
            try_join_all(requests.into_iter().map(|s| send_request(&trace, &caller, s, start)));
        let injection = async {
            for step in failures {
                sleep_until(start + Duration::from_millis(step.at_ms)).await;
                inject_failure(&mut guard.fleet, &step.action).await?;
            }
            anyhow::Ok(())
        };
        let (complete, injection) = tokio::join!(responses, injection);
        injection?;
        let complete = complete?.into_iter().filter(|w| *w).count();
        assert_eq!(complete, trace.outcome.streams_whole, "complete streams");
        let log = guard.fleet.log("service-0").await?;
        for (subject, runs) in &trace.outcome.ran {
            let key = format!("{}/{subject}", trace.deployment().non_idempotent);
            assert_eq!(log.get(&key).and_then(Value::as_u64), Some(*runs), "{key} in {log}");
        }
        Ok(())
    });
}

cases! {
    replay {
        permit_desk: "permit-desk.json";
        framing_cooperative: "framing-cooperative.json";
    }
}

/// Sends the request of a step; returns whether it was a complete stream.
async fn send_request(
    trace: &Trace,
    caller: &Caller,
    step: &Step,
    start: Instant,
) -> anyhow::Result<bool> {
    sleep_until(start + Duration::from_millis(step.at_ms)).await;
    let deployment = trace.deployment();
    let caller_of = |workspace: &str| caller.clone().with_workspace(workspace);
    match &step.action {
        Action::Stream { workspace, entry, long, prompt } => {
            let task = if *long { deployment.long } else { deployment.short };
            let received = caller_of(workspace).stream(*entry, task, prompt).await?;
            anyhow::ensure!(received.in_order(), "{received:?}");
            Ok(received.is_whole())
        }
        Action::Once { workspace, entry, key, subject, code } => {
            let caller = caller_of(workspace);
            let received_code =
                caller.operation(*entry, deployment.non_idempotent, Some(key), subject).await?;
            let received_code = received_code.1.get("code").and_then(Value::as_u64).unwrap_or(0);
            anyhow::ensure!(
                received_code == *code,
                "{subject}: code {received_code}, expected {code}"
            );
            Ok(false)
        }
        Action::Idempotent { workspace, entry, subject } => {
            let caller = caller_of(workspace);
            let (status, answer) =
                caller.operation(*entry, deployment.idempotent, None, subject).await?;
            anyhow::ensure!(status == StatusCode::OK, "{subject}: {answer}");
            Ok(false)
        }
        other => anyhow::bail!("not a request: {other:?}"),
    }
}

async fn inject_failure(fleet: &mut Fleet, what: &Action) -> anyhow::Result<()> {
    match what {
        Action::Fault { process, faults } => fleet.set_faults(process, faults).await,
        Action::Domain { direction, name } => {
            let arguments = ["domain", direction, name, "--who", "trace", "--why", "replay"];
            // The exit code is not checked: the change can't be in force everywhere while an
            // instance is frozen.
            let (code, text) = fleet.run_nutmegctl(&arguments).await?;
            anyhow::ensure!(text.contains("accepted"), "nutmegctl ended with {code}: {text}");
            Ok(())
        }
        Action::Freeze { process } => fleet.process(process)?.signal(Signal::SIGSTOP),
        Action::Wake { process } => fleet.process(process)?.signal(Signal::SIGCONT),
        Action::Kill { process } => fleet.process(process)?.kill(),
        other => anyhow::bail!("not a failure: {other:?}"),
    }
}
