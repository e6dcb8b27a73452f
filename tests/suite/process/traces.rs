//! Traces from files, replayed on real processes against their stated outcomes.

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

use self::trace::{Step, Trace, What};
use crate::support::{fleet, run};

// A trace says what callers asked, when, and what failed meanwhile. Whatever the machine's speed, the
// outcome is the stated one: so many whole streams, each call's code, and how often each call ran.
fn replay(file: &str) {
    run(async {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces").join(file);
        let text = std::fs::read_to_string(path).context("read trace")?;
        let trace: Trace = serde_json::from_str(&text).context("decode trace")?;
        let mut held = fleet(&trace.plan()).await?;
        let caller = held.fleet.caller("replay");
        let (asked, failed): (Vec<_>, Vec<_>) = trace.steps.iter().partition(|s| s.is_request());
        let start = Instant::now();
        let requests = try_join_all(asked.into_iter().map(|s| ask(&trace, &caller, s, start)));
        let failures = async {
            for step in failed {
                sleep_until(start + Duration::from_millis(step.at_ms)).await;
                fail(&mut held.fleet, &step.what).await?;
            }
            anyhow::Ok(())
        };
        let (whole, failures) = tokio::join!(requests, failures);
        failures?;
        let whole = whole?.into_iter().filter(|w| *w).count();
        assert_eq!(whole, trace.outcome.streams_whole, "whole streams");
        let log = held.fleet.log("service-0").await?;
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

/// Asks what a step says; tells whether it was a whole stream.
async fn ask(trace: &Trace, caller: &Caller, step: &Step, start: Instant) -> anyhow::Result<bool> {
    sleep_until(start + Duration::from_millis(step.at_ms)).await;
    let names = trace.deployment();
    let at = |workspace: &str| caller.clone().with_workspace(workspace);
    match &step.what {
        What::Stream { workspace, entry, long, prompt } => {
            let task = if *long { names.long } else { names.short };
            let heard = at(workspace).stream(*entry, task, prompt).await?;
            anyhow::ensure!(heard.in_order(), "{heard:?}");
            Ok(heard.is_whole())
        }
        What::Once { workspace, entry, key, subject, code } => {
            let caller = at(workspace);
            let got = caller.operation(*entry, names.non_idempotent, Some(key), subject).await?;
            let got = got.1.get("code").and_then(Value::as_u64).unwrap_or(0);
            anyhow::ensure!(got == *code, "{subject}: code {got} in place of {code}");
            Ok(false)
        }
        What::Idempotent { workspace, entry, subject } => {
            let caller = at(workspace);
            let (status, answer) =
                caller.operation(*entry, names.idempotent, None, subject).await?;
            anyhow::ensure!(status == StatusCode::OK, "{subject}: {answer}");
            Ok(false)
        }
        other => anyhow::bail!("not a request: {other:?}"),
    }
}

async fn fail(fleet: &mut Fleet, what: &What) -> anyhow::Result<()> {
    match what {
        What::Fault { process, faults } => fleet.set_faults(process, faults).await,
        What::Domain { direction, name } => {
            let words = ["domain", direction, name, "--who", "trace", "--why", "replay"];
            // Whether it is in force everywhere is not asked here: an instance may be frozen.
            let (code, text) = fleet.run_nutmegctl(&words).await?;
            anyhow::ensure!(text.contains("accepted"), "nutmegctl ended with {code}: {text}");
            Ok(())
        }
        What::Freeze { process } => fleet.process(process)?.signal(Signal::SIGSTOP),
        What::Wake { process } => fleet.process(process)?.signal(Signal::SIGCONT),
        What::Kill { process } => fleet.process(process)?.kill(),
        other => anyhow::bail!("not a failure: {other:?}"),
    }
}
