//! What clients are told, and how often requests run.

use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan, request};

use super::ask;
use super::site::Site;
use crate::support::{run, until};

/// Checks what a client gets of an endpoint that behaves in one way, and how often its request ran.
fn told(route: &str, behaviour: Behaviour, status: u16, runs: usize) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.endpoint("desk", "e-1", behaviour).await?;
        let second = site.endpoint("desk", "e-2", behaviour).await?;
        let answer = ask(&site, route, "a1").await?;
        assert_eq!(answer.status, status, "{answer:?}");
        assert!(answer.is_whole, "{answer:?}");
        assert_eq!(first.runs("a1") + second.runs("a1"), runs);
        // A later request is not touched by what is left of the earlier one.
        first.set(Behaviour::Answer);
        second.set(Behaviour::Answer);
        let later = ask(&site, "read", "a2").await?;
        let body = String::from_utf8_lossy(&later.message.body).into_owned();
        assert!(later.status != 200 || body.starts_with("done a2"), "{later:?}");
        Ok(())
    });
}

// An endpoint sheds, fails, hangs up, breaks off or sends foreign bytes. A client that is told 503
// comes back, and its request then runs a second time if the first did run.
cases! {told {
    once_answered: "once", Behaviour::Answer, 200, 1;
    once_unframed: "once", Behaviour::CloseDelimited, 200, 1;
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

// One of two endpoints is broken. A lookup may run twice, so its client must not notice.
#[test]
fn lookup_is_answered_by_the_second_endpoint() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.endpoint("desk", "e-1", Behaviour::Close).await?;
        site.endpoint("desk", "e-2", Behaviour::Answer).await?;
        for number in 0..12 {
            let answer = ask(&site, "read", &format!("a{number}")).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        Ok(())
    });
}

// A lookup's first endpoint closes the connection, and the second one, which comes only then, has no
// room. The first may have run it, so the client is told neither that nothing ran nor when to come
// back, and the code says what is known.
#[test]
fn no_room_after_a_lost_answer_is_no_promise() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.endpoint("desk", "e-1", Behaviour::Close).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("read", "a1", "key-1", "")).await?;
        until("the first runs it", async || Ok(first.runs("a1") == 1)).await?;
        site.endpoint("desk", "e-2", Behaviour::Shed).await?;
        let answer = client.answer().await?;
        let header = |name| answer.message.header(name);
        assert_eq!(answer.status, 502);
        assert_eq!(header("retry-after"), None);
        assert_eq!(header(CODE_HEADER), Some(Code::OutcomeUnknown.number().to_string().as_str()));
        Ok(())
    });
}

// The endpoint has a request that may not run twice and says nothing. When the route's time is over
// the client gets its final answer, and that does not claim that nothing ran.
#[test]
fn silence_ends_with_the_routes_time() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 300, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.endpoint("desk", "e-1", Behaviour::Hang).await?;
        let answer = ask(&site, "once", "a1").await?;
        assert_eq!(answer.status, 504);
        assert_eq!(endpoint.runs("a1"), 1);
        Ok(())
    });
}

// No endpoint is there. The client is told at once that nothing ran and when to come back.
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

// The registry names an address where nothing listens any more. Nothing went out, so the request
// goes to another endpoint although it may not run twice.
#[test]
fn refused_connection_is_no_send() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let gone = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let entry = nutmeggrade_fakes::site::Entry::new("desk", gone);
        site.store.put("servers", "e-gone", entry.content());
        site.until_metric("endpoints", 1).await?;
        site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        for number in 0..8 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        Ok(())
    });
}
