//! Engines and services whose responses are no answers, at an instance with its own interface.

use std::time::Duration;

use nutmeggrade_fakes::fleet::{Deployment, Fleet, Plan, StreamOutput};
use nutmeggrade_fakes::site::{Behaviour, Endpoint, Generations};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::support::{RunningFleet, fleet, run, until};

/// Time within which a response without an end is given up; the call's deadline is 20 s.
const LIMIT: Duration = Duration::from_secs(5);

/// A fleet whose only service or engine is run by the test.
pub struct Setup {
    pub guard: RunningFleet,
    pub endpoint: Endpoint,
}

async fn start(
    plan: Plan,
    behaviour: Behaviour,
    name: &str,
    attributes: &Value,
    is_known: impl AsyncFn(&Fleet, &Endpoint) -> anyhow::Result<bool>,
) -> anyhow::Result<Setup> {
    let guard = fleet(&plan.with_nodes(1).with_engines(0).with_services(0)).await?;
    let endpoint = Endpoint::start(name, Behaviour::Close, &Generations::default()).await?;
    let domain = Deployment::PERMIT_DESK.domains[0];
    guard.fleet.register(name, endpoint.address, domain, attributes).await?;
    until("the endpoint is in service", async || is_known(&guard.fleet, &endpoint).await).await?;
    endpoint.set(behaviour);
    Ok(Setup { guard, endpoint })
}

async fn start_service(behaviour: Behaviour) -> anyhow::Result<Setup> {
    let attributes = json!({ "kind": "service", "service": Deployment::PERMIT_DESK.service });
    start(Plan::default(), behaviour, "service-0", &attributes, async |fleet, _| {
        let (status, answer) =
            fleet.caller("staatsbos").operation(0, "lookup-permit", None, "probe").await?;
        Ok(status == 502 && answer["run"] == "unknown")
    })
    .await
}

async fn start_engine(behaviour: Behaviour) -> anyhow::Result<Setup> {
    start_engine_with(Plan::default(), behaviour).await
}

/// Starts a fleet with the flags of a plan whose only engine has this behaviour.
pub async fn start_engine_with(plan: Plan, behaviour: Behaviour) -> anyhow::Result<Setup> {
    let deployment = Deployment::PERMIT_DESK;
    let attributes = json!({ "kind": "engine", "models": [deployment.model], "memory": 1_000_000 });
    start(plan, behaviour, "engine-0", &attributes, async |_, engine| {
        Ok(!engine.notices().status_checks().is_empty())
    })
    .await
}

/// Checks that clients of a service get a failure in place of its response, and that the outcome is
/// recorded as unknown.
async fn ensure_no_answer(setup: &Setup) -> anyhow::Result<()> {
    let caller = setup.guard.fleet.caller("staatsbos");
    for (operation, key) in [("lookup-permit", None), ("issue-permit", Some("k1"))] {
        let asked_at = Instant::now();
        let (status, answer) = caller.operation(0, operation, key, "plot-1").await?;
        assert_eq!((status.as_u16(), &answer["run"]), (502, &json!("unknown")), "{answer}");
        assert!(asked_at.elapsed() <= LIMIT, "after {:?}", asked_at.elapsed());
    }
    let (status, answer) = caller.operation(0, "issue-permit", Some("k1"), "plot-1").await?;
    assert_eq!((status.as_u16(), &answer["run"]), (502, &json!("unknown")), "{answer}");
    until("no connection is open", async || Ok(setup.endpoint.open() == 0)).await
}

fn answer_of_a_service_is_lost(behaviour: Behaviour) {
    run(async { ensure_no_answer(&start_service(behaviour).await?).await });
}

const fn raw(text: &'static str) -> Behaviour {
    Behaviour::Raw(text)
}

const fn endless(beginning: &'static str, part: &'static str) -> Behaviour {
    Behaviour::Endless { beginning, part }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against bytes that are no answer and reach the client as one, are recorded as one, or keep the
// call busy until its deadline.
cases! {answer_of_a_service_is_lost {
    status_of_zeros: raw("HTTP/1.1 000 -\r\nContent-Length: 4\r\n\r\nbody");
    status_below_the_interim_ones: raw("HTTP/1.1 099 -\r\nContent-Length: 4\r\n\r\nbody");
    switching_protocols: raw("HTTP/1.1 101 -\r\nContent-Length: 4\r\n\r\nbody");
    interim_response_alone: raw("HTTP/1.1 103 -\r\n\r\n");
    status_above_the_failures: raw("HTTP/1.1 600 -\r\nContent-Length: 4\r\n\r\nbody");
    highest_status: raw("HTTP/1.1 999 -\r\nContent-Length: 4\r\n\r\nbody");
    nothing: raw("");
    partial_status_line: raw("HTTP/1.1 200");
    partial_head: raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n");
    short_body: raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod");
    partial_chunk: raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n");
    interim_responses: endless("", "HTTP/1.1 100 -\r\n\r\n");
    header_line: endless("HTTP/1.1 200 -\r\nX-Long: ", "long ");
    header_lines: endless("HTTP/1.1 200 -\r\n", "X-Line: 1\r\n");
    size_of_a_chunk: endless(CHUNKED, "00000000");
    chunks: endless(CHUNKED, "4\r\nbody\r\n");
    body: endless("HTTP/1.1 200 OK\r\n\r\n", "body");
    null_bytes: endless("", "\0\0\0\0");
}}

/// Checks that a stream whose engine sends this gets no token and no end, and fails within the limit.
fn stream_fails(behaviour: Behaviour) {
    run(async {
        let setup = start_engine(behaviour).await?;
        let caller = setup.guard.fleet.caller("staatsbos");
        let asked_at = Instant::now();
        let mut output = StreamOutput::default();
        let entry = caller.entry(0);
        caller.read_stream(entry, "permit-draft", "a len=3", &mut output, None).await?;
        assert!(output.failure.is_some() && !output.done && output.tokens.is_empty(), "{output:?}");
        assert!(asked_at.elapsed() <= 2 * LIMIT, "after {:?}", asked_at.elapsed());
        Ok(())
    });
}

const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

// Guards against the same bytes from an engine.
cases! {stream_fails {
    status_of_zeros: raw("HTTP/1.1 000 -\r\nContent-Length: 4\r\n\r\nbody");
    switching_protocols: raw("HTTP/1.1 101 -\r\n\r\nbody");
    status_above_the_failures: raw("HTTP/1.1 600 -\r\nContent-Length: 4\r\n\r\nbody");
    partial_head: raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    empty_body: raw(EVENTS);
    line: endless(EVENTS, "data: x");
    lines_of_an_event: endless(EVENTS, "data: x\n");
    comments: endless(EVENTS, ": x\n");
}}
