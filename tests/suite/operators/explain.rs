//! Explanations of earlier requests.

use http::{Method, Request, header};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{MODEL, Plan, SERVICE};
use nutmeggrade_fakes::http::send;
use nutmeggrade_platform::{body_bytes, call, json_body};
use nutmeggrade_state::explain_log::{ExplainLog, MAX_BYTES, MAX_STEPS};
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run};

fn request(name: &str) -> RequestId {
    RequestId::new(name).expect("id")
}

// An instance that remembered all requests would run out of memory under a flood of requests, some
// of them with one id again and again and long errors. The log stays within its size in bytes and
// keeps the latest requests.
#[rstest]
fn memory_is_bounded() {
    let mut log = ExplainLog::default();
    let long = "ē".repeat(10_000);
    for n in 0..40_000_u64 {
        log.note(&request(&format!("r{n}")), "let_in", &long, Moment::from_millis(n));
        log.note(&request("same"), "let_in", &long, Moment::from_millis(n));
        assert!(log.bytes() <= MAX_BYTES);
    }
    assert!(log.get(&request("r39999")).is_some());
    assert!(log.get(&request("r0")).is_none());
    assert!(log.get(&request("same")).is_some_and(|r| r.steps.len() <= MAX_STEPS));
}

// A request is explained minutes after it ended. The log has to hold thousands of requests with
// four steps and details of usual length until then.
#[rstest]
fn thousands_of_usual_requests_fit() {
    let mut log = ExplainLog::default();
    let detail = "x".repeat(100);
    for n in 0..20_000_u64 {
        for step in ["let_in", "first_token", "resume", "end"] {
            log.note(&request(&format!("r{n}")), step, &detail, Moment::from_millis(n));
        }
    }
    assert!(log.len() >= 5_000, "{}", log.len());
}

#[rstest]
fn first_and_last_steps_stay() {
    let mut log = ExplainLog::default();
    for n in 0..1_000_u64 {
        log.note(&request("r"), "step", &n.to_string(), Moment::from_millis(n));
    }
    let record = log.get(&request("r")).expect("record");
    assert_eq!(record.steps.first().map(|s| s.detail.as_str()), Some("0"));
    assert_eq!(record.steps.last().map(|s| s.detail.as_str()), Some("999"));
    assert_eq!(record.dropped + MAX_STEPS as u64, 1_000);
}

// Operators get the id of a slow request. The explanation names the instance that admitted it, the
// wait, the engine that ran it and the result.
#[rstest]
fn a_request_is_explained() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(2).with_engines(1)).await?;
        let entry = guard.fleet.nodes["node-1"].callers;
        let body = json!({ "model": MODEL, "prompt": "a len=5" });
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, entry.to_string())
            .header("nutmeggrade-workspace", "staatsbos")
            .body(json_body(&body)?)?;
        let response = call(entry, request, std::time::Duration::from_secs(2)).await?;
        let name = response.headers().get("nutmeggrade-request").expect("request id");
        let name = name.to_str()?.to_owned();
        body_bytes(response.into_body(), 1 << 20).await?;
        let (code, text) = guard.fleet.run_nutmegctl(&["explain", &name]).await?;
        assert_eq!(code, 0, "{text}");
        for part in ["instance=node-1", "step=let_in", "waited_ms=", "engine-0", "code=0 "] {
            assert!(text.contains(part), "{part}: {text}");
        }
        Ok(())
    });
}

// A call is sent twice with one idempotency key. The explanations tell which request sent the call
// and which one got the recorded answer.
#[rstest]
fn a_repeated_call_is_explained() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        let entry = guard.fleet.nodes["node-0"].callers;
        let path = format!("/v1/services/{SERVICE}/issue-permit");
        for (name, expected) in [("first", "ended=answered"), ("second", "answered before")] {
            let headers = [
                ("nutmeggrade-workspace", "staatsbos"),
                ("nutmeggrade-request", name),
                ("idempotency-key", "k1"),
            ];
            let body = json!({ "subject": "plot-1" }).to_string().into_bytes();
            send(entry, Method::POST, &path, &headers, body).await?;
            let (code, text) = guard.fleet.run_nutmegctl(&["explain", name]).await?;
            assert!(code == 0 && text.contains("step=claimed"), "{text}");
            assert!(text.contains(expected), "{name}: {text}");
        }
        Ok(())
    });
}
