//! Clients and endpoints that read slowly, and some that are gone.

use std::time::Duration;

use nutmeggrade_fakes::relay::Link;
use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, RawClient, RoutingPlan, StreamEnd, request, request_with_body,
};
use tokio::time::{Instant, sleep, timeout};

use super::PROMPT_HEADERS;
use super::cut_off::CutSite;
use super::site::{Site, metric};
use super::stop::begin_stop;
use crate::support::{run, until};

/// A pause in reading for which a window stays closed longer than a peer may be silent.
const PAUSE: Duration = Duration::from_secs(7);
/// Time in which a peer that is gone is noticed: 3 s of silence, and as much for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(6);
/// As above if the peer read nothing for a second before: it is asked at growing intervals.
const LATE_NOTICE_TIME: Duration = Duration::from_secs(12);
/// Receive buffer of a slow client. Into much smaller ones the kernel sends only what fits a window probe,
/// five times a second, however fast the client reads.
const BUFFER_BYTES: u32 = 16 << 10;
/// Many times what the kernel holds for a client.
const LARGE_BYTES: usize = 3 << 20;
const LONG_STREAM: Behaviour =
    Behaviour::StreamPart { events: 25_000, rest: "", end: StreamEnd::LastChunk };

fn plan() -> RoutingPlan {
    RoutingPlan { body_bytes: 4 << 20, ..RoutingPlan::default() }
}

fn service(route: &str) -> &'static str {
    if matches!(route, "draft" | "sort") { "writers" } else { "desk" }
}

/// Asks for a response that is larger than what the kernel holds, reads nothing of it for a while, and
/// checks that it is whole.
fn slow_client_gets_the_whole_response(
    plan: &RoutingPlan,
    route: &str,
    behaviour: Behaviour,
    pause: Duration,
) {
    run(async {
        let site = Site::start(plan).await?;
        let endpoint = site.add_endpoint(service(route), "e-1", behaviour).await?;
        let mut client = RawClient::connect_with_buffer(site.client(), BUFFER_BYTES).await?;
        client.send(&request(route, "a1", "key-1", PROMPT_HEADERS)).await?;
        until("it runs", async || Ok(endpoint.runs("a1") == 1)).await?;
        sleep(pause).await;
        let answer = client.answer().await?;
        assert!(answer.status == 200 && answer.is_whole);
        Ok(())
    });
}

// Guards against clients that are taken for dead, because their window is closed while they read slowly.
cases! {slow_client_gets_the_whole_response {
    stream: &plan(), "draft", LONG_STREAM, PAUSE;
    resumable_stream: &plan(), "sort", LONG_STREAM, PAUSE;
    large_response: &plan(), "once", Behaviour::Large { bytes: LARGE_BYTES, is_chunked: true }, PAUSE;
    buffered_response: &plan(), "read", Behaviour::Large { bytes: 260_000, is_chunked: true }, PAUSE;
    // The response is finished for the instance, and a part of it still waits for the client.
    response_that_outlasts_the_idle_timeout: &RoutingPlan { idle_ms: 1_000, ..plan() }, "read",
        Behaviour::Large { bytes: 260_000, is_chunked: true }, Duration::from_millis(2_500);
}}

// Guards against an instance that serves a peer's client and takes the peer for dead, because its window is
// closed while that client reads slowly.
#[test]
fn slow_client_of_a_cut_off_instance_gets_the_whole_response() {
    run(async {
        let site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        for endpoint in &site.endpoints {
            endpoint.set(Behaviour::Large { bytes: LARGE_BYTES, is_chunked: true });
        }
        let address = site.proxied().addresses().client;
        let mut client = RawClient::connect_with_buffer(address, BUFFER_BYTES).await?;
        client.send(&request("read", "a1", "key-1", PROMPT_HEADERS)).await?;
        sleep(PAUSE).await;
        let answer = client.answer().await?;
        assert!(answer.status == 200 && answer.is_whole);
        Ok(())
    });
}

/// Makes a client vanish, and returns the time until its connection is closed.
async fn vanish(site: &Site, client: &RawClient) -> anyhow::Result<Duration> {
    client.vanish()?;
    let vanished_at = Instant::now();
    site.until_metric("connections", 0).await?;
    Ok(vanished_at.elapsed())
}

/// Begins a stream, waits, makes its client vanish, and checks that its connection is closed in time.
fn vanished_client_is_noticed(behaviour: Behaviour, wait: Duration, limit: Duration) {
    run(async {
        let site = Site::start(&plan()).await?;
        let engine = site.add_endpoint("writers", "e-1", behaviour).await?;
        engine.hold_ends(true);
        let mut client = RawClient::connect_with_buffer(site.client(), BUFFER_BYTES).await?;
        client.send(&request("draft", "a1", "key-1", PROMPT_HEADERS)).await?;
        until("it runs", async || Ok(engine.runs("a1") == 1)).await?;
        sleep(wait).await;
        let elapsed = vanish(&site, &client).await?;
        assert!(elapsed < limit, "{elapsed:?}");
        Ok(())
    });
}

// Guards against engines that work on for clients which are gone.
cases! {vanished_client_is_noticed {
    while_events_flow: Behaviour::Stream { events: 9_000, pause: Duration::from_millis(10) },
        Duration::from_millis(300), NOTICE_TIME;
    between_events: Behaviour::StreamPart { events: 5, rest: "", end: StreamEnd::LastChunk },
        Duration::from_millis(300), NOTICE_TIME;
    while_it_read_nothing: LONG_STREAM, Duration::from_secs(1), LATE_NOTICE_TIME;
}}

// Guards against connections of clients that are gone between two requests: an idle one ends after 15 s.
#[test]
fn vanished_idle_client_is_noticed() {
    run(async {
        let site = Site::start(&plan()).await?;
        site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("read", "a1", "key-1", "")).await?;
        assert_eq!(client.answer().await?.status, 200);
        let elapsed = vanish(&site, &client).await?;
        assert!(elapsed < NOTICE_TIME, "{elapsed:?}");
        Ok(())
    });
}

/// Sends a large body to an endpoint with this behaviour; returns the status and the time that it took.
async fn upload(
    route: &str,
    behaviour: Behaviour,
    read_delay: Duration,
) -> anyhow::Result<(u16, Duration, Endpoint)> {
    let site = Site::start(&plan()).await?;
    let endpoint = site.add_endpoint(service(route), "e-1", behaviour).await?;
    endpoint.read_late(read_delay);
    let mut client = RawClient::connect(site.client()).await?;
    let body = "x".repeat(LARGE_BYTES);
    let sent_at = Instant::now();
    client.send(&request_with_body(route, "a1", "key-1", PROMPT_HEADERS, &body)).await?;
    let answer = client.answer().await?;
    Ok((answer.status, sent_at.elapsed(), endpoint))
}

/// Sends a large body to an endpoint that reads nothing of it for a while, and checks that it is served.
fn slow_endpoint_gets_the_whole_body(route: &str) {
    run(async {
        let (status, _, endpoint) = upload(route, Behaviour::Answer, PAUSE).await?;
        assert_eq!((status, endpoint.runs("a1")), (200, 1));
        Ok(())
    });
}

// Guards against endpoints that are taken for dead, because their window is closed while they read a body
// slowly.
cases! {slow_endpoint_gets_the_whole_body {
    unrepeatable: "once";
    repeatable: "read";
    generation: "draft";
}}

/// Sends a large body to one of two endpoints that read nothing of it for 5 s, and checks that the first one
/// answers it.
fn endpoint_that_reads_is_not_given_up(route: &str) {
    run(async {
        let plan = RoutingPlan { target_ms: 500, ..plan() };
        let site = Site::start(&plan).await?;
        let first = site.add_endpoint(service(route), "e-1", Behaviour::Answer).await?;
        let second = site.add_endpoint(service(route), "e-2", Behaviour::Answer).await?;
        for endpoint in [&first, &second] {
            endpoint.read_late(Duration::from_secs(5));
        }
        let mut client = RawClient::connect(site.client()).await?;
        let headers = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,80\r\n\
             X-Nutmeggrade-Deadline-Ms: 9000\r\n";
        let body = "x".repeat(LARGE_BYTES);
        let sent_at = Instant::now();
        client.send(&request_with_body(route, "a1", "key-1", headers, &body)).await?;
        assert_eq!(client.answer().await?.status, 200);
        // A second endpoint would begin to read after a third of the deadline, and answer 5 s later.
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_secs(7), "{elapsed:?}");
        assert_eq!(first.runs("a1") + second.runs("a1"), 1);
        let sends = metric(site.instance.addresses().metrics, "sends_total{end=\"silent\"}").await;
        assert_eq!(sends.unwrap_or_default(), 0);
        Ok(())
    });
}

// Guards against endpoints that are taken for silent while they read a body slowly: it is sent once more, to
// another one.
cases! {endpoint_that_reads_is_not_given_up {
    call: "read";
    generation: "sort";
}}

/// Sends a body to an endpoint that vanishes, adds another one, and checks that it answers before the first one
/// counts as gone.
fn vanished_endpoint_is_left_for_another(body_bytes: usize) {
    run(async {
        let plan = RoutingPlan { target_ms: 500, ..plan() };
        let site = Site::start(&plan).await?;
        let first = site.add_endpoint("desk", "e-1", Behaviour::Vanish).await?;
        let mut client = RawClient::connect(site.client()).await?;
        let headers = "X-Nutmeggrade-Deadline-Ms: 4500\r\n";
        let body = "x".repeat(body_bytes);
        let sent_at = Instant::now();
        client.send(&request_with_body("read", "a1", "key-1", headers, &body)).await?;
        until("the request is sent", async || Ok(first.open() > 0)).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Answer).await?;
        assert_eq!(client.answer().await?.status, 200);
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
        Ok(())
    });
}

// Guards against endpoints that count as reading a body although they acknowledge nothing.
cases! {vanished_endpoint_is_left_for_another {
    small_body: 50_000;
    large_body: LARGE_BYTES;
}}

// Guards against requests that wait until their deadline for an endpoint that is gone.
#[test]
fn vanished_endpoint_is_noticed() {
    run(async {
        let (status, elapsed, _) = upload("once", Behaviour::Vanish, Duration::ZERO).await?;
        assert_eq!(status, 502);
        assert!(elapsed < NOTICE_TIME, "{elapsed:?}");
        Ok(())
    });
}

// Guards against clients that never read and hold an instance beyond its grace period of 4 s.
#[test]
fn unread_response_does_not_hold_up_a_stop() {
    run(async {
        let site = Site::start(&plan()).await?;
        let engine = site.add_endpoint("writers", "e-1", LONG_STREAM).await?;
        let mut client = RawClient::connect_with_buffer(site.client(), BUFFER_BYTES).await?;
        client.send(&request("draft", "a1", "key-1", PROMPT_HEADERS)).await?;
        until("it runs", async || Ok(engine.runs("a1") == 1)).await?;
        let stopping = begin_stop(site.instance).await?;
        timeout(Duration::from_secs(5), stopping).await??;
        Ok(())
    });
}

// Guards against responses that nobody reads and that occupy their connection after the deadline.
#[test]
fn unread_response_is_given_up_after_its_deadline() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 2_000, idle_ms: 1_000, ..plan() };
        let site = Site::start(&plan).await?;
        site.add_endpoint("writers", "e-1", LONG_STREAM).await?;
        let mut client = RawClient::connect_with_buffer(site.client(), BUFFER_BYTES).await?;
        client.send(&request("draft", "a1", "key-1", PROMPT_HEADERS)).await?;
        site.until_metric("connections", 1).await?;
        timeout(NOTICE_TIME, site.until_metric("connections", 0)).await??;
        Ok(())
    });
}
