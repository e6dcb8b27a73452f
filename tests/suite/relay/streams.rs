//! Event streams that endpoints send to clients.

use std::time::Duration;

use nutmeggrade_fakes::site::{Answer, Behaviour, RawClient, RoutingPlan, request};

use super::PROMPT_HEADERS;
use super::site::Site;
use crate::support::{run, until};

/// Returns the ids of the complete events of a stream.
pub fn events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.lines().filter_map(|l| l.strip_prefix("id: ")).filter_map(|i| i.parse().ok()).collect()
}

// Events are forwarded unchanged, each once, with the signature of the endpoint that created them.
#[test]
fn events_pass_on_whole() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 30, pause: Duration::from_millis(1) };
        site.add_endpoint("writers", "e-1", stream).await?;
        let answer = RawClient::ask(site.client(), "draft", "a1", PROMPT_HEADERS).await?;
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.message.header("x-nutmeggrade-server-signature"), Some("by.e-1"));
        assert_eq!(events(&answer.message.body), (1..=30).collect::<Vec<u64>>());
        Ok(())
    });
}

// An engine dies in the middle of an event, and the request may not run twice. The client gets the
// complete events only, and a stream that does not look complete.
#[test]
fn cut_stream_does_not_look_complete() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.add_endpoint("writers", "e-1", Behaviour::StreamCut { events: 5 }).await?;
        let second =
            site.add_endpoint("writers", "e-2", Behaviour::StreamCut { events: 5 }).await?;
        let answer = RawClient::ask(site.client(), "draft", "a1", PROMPT_HEADERS).await?;
        assert!(!answer.is_whole);
        assert_eq!(events(&answer.message.body), [1, 2, 3, 4, 5]);
        assert!(!answer.message.body.ends_with(b"da"));
        assert_eq!(first.runs("a1") + second.runs("a1"), 1);
        Ok(())
    });
}

// An engine dies in the middle of an answer that may be resumed elsewhere. The client gets one
// stream with each event once.
#[test]
fn resumable_stream_goes_on_at_another_endpoint() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 60, pause: Duration::from_millis(10) };
        let first = site.add_endpoint("writers", "e-1", stream).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("sort", "a1", "key-1", PROMPT_HEADERS)).await?;
        until("the first engine has sent events", async || {
            Ok(site.generations.max_generated_events() > 5)
        })
        .await?;
        let second = site.add_endpoint("writers", "e-2", stream).await?;
        first.kill();
        let answer = client.answer().await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body), (1..=60).collect::<Vec<u64>>());
        assert_eq!(second.runs("a1"), 1);
        let last = second.seen().remove(0).message;
        let last: u64 = last.header("last-event-id").unwrap_or_default().parse()?;
        assert!(last > 0 && last < 60, "{last}");
        Ok(())
    });
}

// A client reconnects with the id of its last event.
#[test]
fn client_resumes_behind_its_last_event() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 9, pause: Duration::from_millis(1) };
        site.add_endpoint("writers", "e-1", stream).await?;
        let headers = format!("{PROMPT_HEADERS}Last-Event-Id: 6\r\n");
        let answer = RawClient::ask(site.client(), "sort", "a1", &headers).await?;
        assert_eq!(events(&answer.message.body), [7, 8, 9]);
        Ok(())
    });
}

/// Sends a request to a route whose first endpoint breaks the connection after five events, and
/// whose second endpoint, which joins only then, answers without events. Returns the answer to the
/// client.
async fn answer_after_broken_stream(route: &str) -> anyhow::Result<Answer> {
    let site = Site::start(&RoutingPlan::default()).await?;
    let service = if route == "sort" { "writers" } else { "desk" };
    let first = site.add_endpoint(service, "e-1", Behaviour::StreamCut { events: 5 }).await?;
    let mut client = RawClient::connect(site.client()).await?;
    client.send(&request(route, "a1", "key-1", PROMPT_HEADERS)).await?;
    until("the first endpoint runs the request", async || Ok(first.runs("a1") == 1)).await?;
    let second = site.add_endpoint(service, "e-2", Behaviour::Answer).await?;
    let answer = client.answer().await?;
    drop(second);
    Ok(answer)
}

// An endpoint breaks the connection in the middle of an event stream, and the endpoint of the
// second attempt answers with a plain body. Appended to the events, that body would look like their
// end; the client has to get an answer that is visibly incomplete.
fn answers_are_not_joined(route: &str) {
    run(async {
        let answer = answer_after_broken_stream(route).await?;
        let body = String::from_utf8_lossy(&answer.message.body).into_owned();
        assert!(!answer.is_whole, "{body}");
        assert!(!body.contains("done"), "{body}");
        assert_eq!(events(&answer.message.body), [1, 2, 3, 4, 5]);
        Ok(())
    });
}

cases! {answers_are_not_joined {
    repeatable: "read";
    resumable: "sort";
}}
