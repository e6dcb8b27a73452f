//! Invalid requests and their error codes.

use http::Method;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{MODEL, Plan, SERVICE};
use nutmeggrade_fakes::http::send;
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run};

const WORKSPACE: (&str, &str) = ("nutmeggrade-workspace", "staatsbos");
const COMPLETIONS: &str = "/v1/completions";

struct Case {
    name: &'static str,
    path: String,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    code: Code,
}

fn case(
    name: &'static str,
    path: &str,
    headers: &[(&'static str, &'static str)],
    body: &str,
    code: Code,
) -> Case {
    Case { name, path: path.to_owned(), headers: headers.to_vec(), body: body.to_owned(), code }
}

fn cases() -> Vec<Case> {
    let good = json!({ "model": MODEL, "prompt": "a len=3" }).to_string();
    let other = json!({ "model": "other", "prompt": "a" }).to_string();
    let none = json!({ "model": MODEL, "prompt": "a", "max_tokens": 0 }).to_string();
    let long = json!({ "model": MODEL, "prompt": "a ".repeat(100_000) }).to_string();
    let issue = format!("/v1/services/{SERVICE}/issue-permit");
    let lookup = format!("/v1/services/{SERVICE}/lookup-permit");
    let past = ("nutmeggrade-deadline-ms", "-5");
    let soon = ("nutmeggrade-deadline-ms", "soon");
    let event = ("last-event-id", "1~2~3~4");
    let task = ("nutmeggrade-task", "weather");
    let key = ("idempotency-key", "a b");
    vec![
        case("bad json", COMPLETIONS, &[WORKSPACE], "{", Code::BadJson),
        case("no workspace", COMPLETIONS, &[], &good, Code::BadWorkspace),
        case(
            "bad workspace",
            COMPLETIONS,
            &[("nutmeggrade-workspace", "a/b")],
            &good,
            Code::BadWorkspace,
        ),
        case("unknown model", COMPLETIONS, &[WORKSPACE], &other, Code::UnknownModel),
        case("no tokens", COMPLETIONS, &[WORKSPACE], &none, Code::OutOfRange),
        case("long prompt", COMPLETIONS, &[WORKSPACE], &long, Code::OutOfRange),
        case("large body", COMPLETIONS, &[WORKSPACE], &"a".repeat(2 << 20), Code::BodyTooLarge),
        case("past deadline", COMPLETIONS, &[WORKSPACE, past], &good, Code::BadDeadline),
        case("bad deadline", COMPLETIONS, &[WORKSPACE, soon], &good, Code::BadDeadline),
        case("unknown task", COMPLETIONS, &[WORKSPACE, task], &good, Code::UnknownTask),
        case("forged event", COMPLETIONS, &[WORKSPACE, event], &good, Code::BadEventId),
        case("unknown path", "/v2/anything", &[WORKSPACE], &good, Code::NotFound),
        case("unknown service", "/v1/services/x/y", &[WORKSPACE], "{}", Code::UnknownService),
        case(
            "unknown operation",
            &format!("/v1/services/{SERVICE}/y"),
            &[WORKSPACE],
            "{}",
            Code::UnknownOperation,
        ),
        case("no key", &issue, &[WORKSPACE], "{}", Code::KeyMissing),
        case("bad key", &issue, &[WORKSPACE, key], "{}", Code::BadHeader),
        case("bad call", &lookup, &[WORKSPACE], "{", Code::BadJson),
        case("call without workspace", &lookup, &[], "{}", Code::BadWorkspace),
    ]
}

// Each invalid request gets the code of its error and the statement that nothing ran.
#[rstest]
fn bad_input_gets_its_code() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(1)).await?;
        let entry = guard.fleet.caller("staatsbos").entry(0);
        for case in cases() {
            let body = case.body.clone().into_bytes();
            let (status, answer) =
                send(entry, Method::POST, &case.path, &case.headers, body).await?;
            let failure: Failure = serde_json::from_slice(&answer)?;
            assert_eq!(failure.code, case.code, "{}: {failure}", case.name);
            assert_eq!(status.as_u16(), case.code.status(), "{}", case.name);
            assert_eq!(failure.run, RunStatus::NotRun, "{}", case.name);
        }
        Ok(())
    });
}
