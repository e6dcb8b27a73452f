//! Responses to clients, and how often requests run.

use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan, request};

use super::ask;
use super::site::Site;
use crate::support::{run, until};

/// Checks the response that a client gets when all endpoints behave in one way, and how often its
/// request runs.
fn client_outcome(route: &str, behaviour: Behaviour, status: u16, runs: usize) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.add_endpoint("desk", "e-1", behaviour).await?;
        let second = site.add_endpoint("desk", "e-2", behaviour).await?;
        let answer = ask(&site, route, "a1").await?;
        assert_eq!(answer.status, status, "{answer:?}");
        assert!(answer.is_whole, "{answer:?}");
        assert_eq!(first.runs("a1") + second.runs("a1"), runs);
        // A later request must not be affected by what the earlier one left behind.
        first.set(Behaviour::Answer);
        second.set(Behaviour::Answer);
        let later = ask(&site, "read", "a2").await?;
        let body = String::from_utf8_lossy(&later.message.body).into_owned();
        assert!(later.status != 200 || body.starts_with("done a2"), "{later:?}");
        Ok(())
    });
}

// An endpoint sheds, fails, closes the connection, truncates its answer or sends foreign bytes. A
// client that gets 503 retries, so its request would run twice if the first attempt did run.
cases! {client_outcome {
    once_answered: "once", Behaviour::Answer, 200, 1;
    once_unframed: "once", Behaviour::CloseDelimited, 200, 1;
    once_large_unframed: "once", Behaviour::Large { bytes: 1 << 20, is_chunked: false }, 200, 1;
    once_large_in_chunks: "once", Behaviour::Large { bytes: 1 << 20, is_chunked: true }, 200, 1;
    once_with_extra_bytes: "once", Behaviour::ExtraResponse, 200, 1;
    once_shed: "once", Behaviour::Shed, 503, 0;
    once_early: "once", Behaviour::EarlyResponse, 503, 0;
    once_failed: "once", Behaviour::Fail, 500, 1;
    once_closed: "once", Behaviour::Close, 502, 1;
    once_truncated: "once", Behaviour::Truncate, 502, 1;
    once_reset_without_length: "once", Behaviour::CloseDelimitedReset, 502, 1;
    once_crossed: "once", Behaviour::WrongAttemptId, 502, 1;
    once_unsigned: "once", Behaviour::Unsigned, 502, 1;
    once_misdirected: "once", Behaviour::Misdirect, 503, 0;
    read_failed: "read", Behaviour::Fail, 500, 2;
    read_closed: "read", Behaviour::Close, 502, 2;
    read_truncated: "read", Behaviour::Truncate, 502, 2;
    read_shed: "read", Behaviour::Shed, 503, 0;
}}

// One of two endpoints is broken. A lookup is idempotent, so it is retried and its client gets no
// error.
#[test]
fn lookup_is_answered_by_the_second_endpoint() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-1", Behaviour::Close).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Answer).await?;
        for number in 0..12 {
            let answer = ask(&site, "read", &format!("a{number}")).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        Ok(())
    });
}

// The first endpoint of a lookup closes the connection, and the second one, which joins only then,
// has no room. The first one may have run the request, so the client gets neither "not run" nor a
// retry time, and the code says that the outcome is unknown.
#[test]
fn no_room_after_lost_answer_is_outcome_unknown() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.add_endpoint("desk", "e-1", Behaviour::Close).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("read", "a1", "key-1", "")).await?;
        until("the first endpoint runs the request", async || Ok(first.runs("a1") == 1)).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Shed).await?;
        let answer = client.answer().await?;
        let header = |name| answer.message.header(name);
        assert_eq!(answer.status, 502);
        assert_eq!(header("retry-after"), None);
        assert_eq!(header(CODE_HEADER), Some(Code::OutcomeUnknown.number().to_string().as_str()));
        Ok(())
    });
}

// An endpoint accepts a request that may not run twice and never responds. When the timeout of the
// route expires, the client gets a final response that does not claim that nothing ran.
#[test]
fn silent_endpoint_times_out_with_the_route() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 300, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Hang).await?;
        let answer = ask(&site, "once", "a1").await?;
        assert_eq!(answer.status, 504);
        assert_eq!(endpoint.runs("a1"), 1);
        Ok(())
    });
}

// No endpoint is registered. The client is told at once that nothing ran and when to retry.
#[test]
fn nothing_to_send_to_is_refused_at_once() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let answer = ask(&site, "once", "a1").await?;
        assert_eq!(answer.status, 503);
        let wait: f64 = answer.message.header("retry-after").unwrap_or_default().parse()?;
        assert!(wait > 0.0 && wait < 3.0, "{wait}");
        Ok(())
    });
}

// The registry has an address where nothing listens any more. Nothing was sent, so the request goes
// to another endpoint although it may not run twice.
#[test]
fn refused_connection_is_no_send() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        // Bound without listening, so that connections are refused and no other process gets the port.
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind("127.0.0.1:0".parse()?)?;
        let closed_address = socket.local_addr()?;
        let entry = nutmeggrade_fakes::site::Entry::new("desk", closed_address);
        site.store.put("servers", "e-gone", entry.content());
        site.until_metric("endpoints", 1).await?;
        site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        for number in 0..8 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        Ok(())
    });
}
