//! Headers, keys and connections of clients.

use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan, request};

use super::site::Site;
use super::{PROMPT_HEADERS, ask};
use crate::support::{run, until};

// A client sends headers that only the system may set. If they were forwarded, they would name
// another workspace or reserve memory of an engine.
#[test]
fn forged_headers_and_key_are_not_forwarded() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let forged = "X-Nutmeggrade-Tenant-Name: rich\r\nX-Nutmeggrade-Expected-Instance: e-9\r\n\
             Kv-From: 10.0.0.1:1/x\r\nX-Nutmeggrade-Pin-Ms: 4000\r\nX-Kept: yes\r\n\
             Connection: X-Nutmeggrade-Attempt-Id, X-Dropped\r\nX-Dropped: 1\r\n";
        let answer = RawClient::ask(site.client(), "once", "a1", forged).await?;
        assert_eq!(answer.status, 200);
        let seen = endpoint.seen().remove(0);
        let header = |name| seen.message.header(name);
        assert_eq!(header("x-nutmeggrade-tenant-name"), Some("acme"));
        assert_eq!(header("x-nutmeggrade-expected-instance"), Some("e-1"));
        assert_eq!(header("x-nutmeggrade-attempt-id"), Some("a1"));
        assert_eq!(header("x-kept"), Some("yes"));
        for name in ["x-api-key", "kv-from", "x-nutmeggrade-pin-ms", "x-dropped"] {
            assert_eq!(header(name), None, "{name}");
        }
        Ok(())
    });
}

// The endpoint gets the remaining time of the request, which is never longer than the deadline of
// the client.
#[test]
fn endpoints_hear_the_time_that_is_left() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        RawClient::ask(site.client(), "once", "a1", "X-Nutmeggrade-Deadline-Ms: 7000\r\n").await?;
        let seen = endpoint.seen().remove(0);
        let left = seen.message.header("x-nutmeggrade-deadline-ms").unwrap_or_default();
        let left: u64 = left.parse()?;
        assert!(left > 0 && left <= 7_000, "{left}");
        Ok(())
    });
}

/// Checks the status of a request to a route with a key.
fn checks_route_and_key(route: &str, key: &str, status: u16) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request(route, "a1", key, "")).await?;
        assert_eq!(client.answer().await?.status, status);
        assert_eq!(endpoint.seen().len(), usize::from(status == 200));
        Ok(())
    });
}

cases! {checks_route_and_key {
    known: "once", "key-1", 200;
    no_route: "nowhere", "key-1", 404;
    unknown_key: "once", "key-9", 401;
}}

// The client closes its connection while its request runs. The connection to the endpoint has to be
// closed, or the endpoint keeps working on an answer that no client reads.
fn client_disconnect_reaches_endpoint(route: &str, service: &str) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint(service, "e-1", Behaviour::Hang).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request(route, "a1", "key-1", PROMPT_HEADERS)).await?;
        until("the endpoint runs the request", async || Ok(endpoint.runs("a1") == 1)).await?;
        assert_eq!(endpoint.open(), 1);
        drop(client);
        until("the connection to the endpoint is closed", async || Ok(endpoint.open() == 0)).await
    });
}

cases! {client_disconnect_reaches_endpoint {
    of_a_call: "once", "desk";
    of_a_stream: "draft", "writers";
}}

// The client of a stream disconnects in the middle of the answer.
#[test]
fn client_disconnect_mid_stream_reaches_endpoint() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let pause = std::time::Duration::from_millis(20);
        let behaviour = Behaviour::Stream { events: 100_000, pause };
        let endpoint = site.add_endpoint("writers", "e-1", behaviour).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("draft", "a1", "key-1", PROMPT_HEADERS)).await?;
        client.read_at_least(400).await?;
        drop(client);
        until("the connection to the endpoint is closed", async || Ok(endpoint.open() == 0)).await
    });
}

// A client reuses its connection for many requests; each response belongs to its request.
#[test]
fn kept_connection_serves_in_turn() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        for number in 0..20 {
            let id = format!("a{number}");
            client.send(&request("once", &id, "key-1", "")).await?;
            let answer = client.answer().await?;
            let body = String::from_utf8(answer.message.body)?;
            assert_eq!(body, format!("done {id} by e-1"));
        }
        Ok(())
    });
}

// Many connections send an incomplete request head. They are closed after the configured timeout,
// and other clients are served meanwhile.
#[test]
fn incomplete_heads_are_closed() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut clients = Vec::new();
        for _ in 0..40 {
            let mut client = RawClient::connect(site.client()).await?;
            client.send("POST /once/x HTTP/1.1\r\nHost: d").await?;
            clients.push(client);
        }
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        for client in &mut clients {
            assert!(client.is_closed().await);
        }
        Ok(())
    });
}
