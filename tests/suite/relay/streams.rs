//! Event streams.

use std::time::Duration;

use nutmeggrade_fakes::site::{Answer, Behaviour, RawClient, RoutingPlan, request};

use super::PROMPT;
use super::site::Site;
use crate::support::{run, until};

/// Reads the ids of the whole events of a stream.
pub fn events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.lines().filter_map(|l| l.strip_prefix("id: ")).filter_map(|i| i.parse().ok()).collect()
}

// Events pass on as they are, each once, with the signature of the endpoint that made them.
#[test]
fn events_pass_on_whole() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 30, pause: Duration::from_millis(1) };
        site.endpoint("writers", "e-1", stream).await?;
        let answer = RawClient::ask(site.client(), "draft", "a1", PROMPT).await?;
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.message.header("x-nutmeggrade-server-signature"), Some("by.e-1"));
        assert_eq!(events(&answer.message.body), (1..=30).collect::<Vec<u64>>());
        Ok(())
    });
}

// An engine dies in the middle of an event of an answer that may not run twice. The client gets the
// whole events, and an end that does not look like one.
#[test]
fn cut_stream_does_not_look_complete() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.endpoint("writers", "e-1", Behaviour::StreamCut { events: 5 }).await?;
        let second = site.endpoint("writers", "e-2", Behaviour::StreamCut { events: 5 }).await?;
        let answer = RawClient::ask(site.client(), "draft", "a1", PROMPT).await?;
        assert!(!answer.is_whole);
        assert_eq!(events(&answer.message.body), [1, 2, 3, 4, 5]);
        assert!(!answer.message.body.ends_with(b"da"));
        assert_eq!(first.runs("a1") + second.runs("a1"), 1);
        Ok(())
    });
}

// An engine dies in the middle of an answer that may go on elsewhere. The client sees one stream, each
// event once.
#[test]
fn resumable_stream_goes_on_at_another_endpoint() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 60, pause: Duration::from_millis(10) };
        let first = site.endpoint("writers", "e-1", stream).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("sort", "a1", "key-1", PROMPT)).await?;
        until(
            "the first has made events",
            async || Ok(site.generations.max_generated_events() > 5),
        )
        .await?;
        let second = site.endpoint("writers", "e-2", stream).await?;
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

// A client comes back with the last event that it has.
#[test]
fn client_resumes_behind_its_last_event() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 9, pause: Duration::from_millis(1) };
        site.endpoint("writers", "e-1", stream).await?;
        let more = format!("{PROMPT}Last-Event-Id: 6\r\n");
        let answer = RawClient::ask(site.client(), "sort", "a1", &more).await?;
        assert_eq!(events(&answer.message.body), [7, 8, 9]);
        Ok(())
    });
}

/// Asks on a route whose first endpoint breaks off after five events, and whose second one, which
/// comes only then, answers without events. Returns what the client got.
async fn broken_off_before_a_plain_answer(route: &str) -> anyhow::Result<Answer> {
    let site = Site::start(&RoutingPlan::default()).await?;
    let service = if route == "sort" { "writers" } else { "desk" };
    let first = site.endpoint(service, "e-1", Behaviour::StreamCut { events: 5 }).await?;
    let mut client = RawClient::connect(site.client()).await?;
    client.send(&request(route, "a1", "key-1", PROMPT)).await?;
    until("the first runs it", async || Ok(first.runs("a1") == 1)).await?;
    let second = site.endpoint(service, "e-2", Behaviour::Answer).await?;
    let answer = client.answer().await?;
    drop(second);
    Ok(answer)
}

// An endpoint breaks off in the middle of an event stream, and the one that the request is sent to
// next answers with a plain body. Joined behind the events that body would pass for their end; the
// client gets an answer that shows that it broke off.
fn answers_are_not_joined(route: &str) {
    run(async {
        let answer = broken_off_before_a_plain_answer(route).await?;
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
