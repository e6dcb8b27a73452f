//! Streams that end before their last event.

use std::time::Duration;

use nutmeggrade_fakes::site::{Answer, Behaviour, RawClient, RoutingPlan, StreamEnd, request};

use super::PROMPT_HEADERS;
use super::site::Site;
use super::streams::events;
use crate::support::{run, until};

const COMPLETE: Behaviour = Behaviour::Stream { events: 9, pause: Duration::from_millis(1) };

/// Requests a stream that its engine ends after five events and `rest`, as [`answer_to`] does.
async fn answer_to_part(route: &str, rest: &'static str, end: StreamEnd) -> anyhow::Result<Answer> {
    answer_to(route, Behaviour::StreamPart { events: 5, rest, end }).await
}

/// Requests a stream that its engine ends early. A second engine, which joins only then, would send
/// nine events. Returns the client's response.
async fn answer_to(route: &str, part: Behaviour) -> anyhow::Result<Answer> {
    let site = Site::start(&RoutingPlan::default()).await?;
    let first = site.add_endpoint("writers", "e-1", part).await?;
    first.hold_ends(true);
    let mut client = RawClient::connect(site.client()).await?;
    client.send(&request(route, "a1", "key-1", PROMPT_HEADERS)).await?;
    until("the first engine runs the request", async || Ok(first.runs("a1") == 1)).await?;
    let second = site.add_endpoint("writers", "e-2", COMPLETE).await?;
    first.hold_ends(false);
    let answer = client.answer().await?;
    let has_run_again = second.runs("a1") > 0;
    assert_eq!(has_run_again, route == "sort" && answer.is_whole);
    Ok(answer)
}

/// Checks that the client got the complete stream of the second engine's run where the route may be
/// resumed, and otherwise the first engine's events and an answer that is visibly incomplete.
fn assert_continued_or_cut(route: &str, answer: &Answer, first_events: u64) {
    let is_resumable = route == "sort";
    assert_eq!(answer.is_whole, is_resumable);
    let count = if is_resumable { 9 } else { first_events };
    assert_eq!(events(&answer.message.body), (1..=count).collect::<Vec<u64>>());
}

// An engine's stream that ends within an event, by its connection alone or where it declares its end,
// is given out as complete with the part of the event.
fn closed_within_event(route: &str, end: StreamEnd) {
    run(async {
        let answer = answer_to_part(route, "id: 6\nda", end).await?;
        assert_continued_or_cut(route, &answer, 5);
        Ok(())
    });
}

cases! {closed_within_event {
    single_run: "draft", StreamEnd::Closed;
    resumable: "sort", StreamEnd::Closed;
    single_run_in_chunks: "draft", StreamEnd::LastChunk;
    resumable_in_chunks: "sort", StreamEnd::LastChunk;
    single_run_with_length: "draft", StreamEnd::Length;
    resumable_with_length: "sort", StreamEnd::Length;
}}

// A complete stream without length or chunks is given out as broken, though its engine is well.
#[test]
fn closed_between_events() {
    run(async {
        let answer = answer_to_part("draft", ": done\n", StreamEnd::Closed).await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body), [1, 2, 3, 4, 5]);
        assert!(answer.message.body.ends_with(b"\n\n: done\n"));
        Ok(())
    });
}

// An engine crashes between two events of a stream without length or chunks. The end of its
// connection is taken for the end of the answer.
fn crashed_between_events(route: &str) {
    run(async {
        let answer = answer_to_part(route, "", StreamEnd::Crashed).await?;
        assert_continued_or_cut(route, &answer, 5);
        Ok(())
    });
}

cases! {crashed_between_events {
    single_run: "draft";
    resumable: "sort";
}}

// A stream without length or chunks that is closed before its first event is given out as a complete
// answer without events.
fn closed_before_the_first_event(route: &str) {
    run(async {
        let part = Behaviour::StreamPart { events: 0, rest: "", end: StreamEnd::Closed };
        let answer = answer_to(route, part).await?;
        assert_continued_or_cut(route, &answer, 0);
        Ok(())
    });
}

cases! {closed_before_the_first_event {
    single_run: "draft";
    resumable: "sort";
}}
