//! Event streams that are requested of an instance during its planned stop while no peer serves.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan, StreamEnd, request};

use super::PROMPT_HEADERS;
use super::members::{Pair, start_pair, until_all_have};
use super::site::{Site, metric};
use super::stop::{begin_stop, send_until_one_waits};
use crate::support::{run, until};

const SHORT_STREAM: Behaviour = Behaviour::Stream { events: 9, pause: Duration::from_millis(10) };
/// A stream that stays open after its first events.
const OPEN_STREAM: Behaviour =
    Behaviour::StreamPart { events: 5, rest: "", end: StreamEnd::LastChunk };
const SHORT_PROMPT: &str = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,40\r\n";

/// Asks an instance that stops alone for a short stream, with the headers, and checks that it is refused if
/// its deadline is after the end of the instance, and served otherwise.
fn stream_goes_by_its_deadline(route: &str, headers: &str) {
    run(async {
        let plan = RoutingPlan { target_ms: 100, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let engine = site.add_endpoint("writers", "e-1", SHORT_STREAM).await?;
        let client = site.client();
        let stopping = begin_stop(site.instance).await?;
        let answer = RawClient::ask(client, route, "a1", headers).await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        let deadline = format!("{headers}X-Nutmeggrade-Deadline-Ms: 1000\r\n");
        let answer = RawClient::ask(client, route, "a2", &deadline).await?;
        assert!(answer.status == 200 && answer.is_whole);
        assert_eq!((engine.runs("a1"), engine.runs("a2")), (0, 1));
        stopping.await?;
        Ok(())
    });
}

// Guards against streams that a stopping instance accepts by the time that they usually take, and cuts at
// its end because their engine takes longer.
cases! {stream_goes_by_its_deadline {
    unrepeatable: "draft", SHORT_PROMPT;
    unrepeatable_without_a_prompt: "draft", "";
    resumable: "sort", SHORT_PROMPT;
    taken_up: "sort", "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,40\r\nLast-Event-Id: 3\r\n";
}}

/// Asks an instance that stops alone for a response that may be repeated and is large or a stream, with a far
/// deadline, and checks that it is whole, with this status.
fn repeatable_response_is_not_cut(behaviour: Behaviour, status: u16) {
    run(async {
        let plan = RoutingPlan { target_ms: 100, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", behaviour).await?;
        let client = site.client();
        let stopping = begin_stop(site.instance).await?;
        let answer = RawClient::ask(client, "read", "a1", "").await?;
        assert_eq!((answer.status, answer.is_whole), (status, true));
        assert_eq!(endpoint.runs("a1"), 1);
        stopping.await?;
        Ok(())
    });
}

const ENDLESS_BODY: &str = "HTTP/1.1 200 OK\r\nX-Nutmeggrade-Attempt-Id: a1\r\n\
     X-Nutmeggrade-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n";

// Guards against responses that a stopping instance begins to pass on, since such requests usually end in
// time, and cuts at its end.
cases! {repeatable_response_is_not_cut {
    short_stream: SHORT_STREAM, 200;
    long_stream: Behaviour::Stream { events: 2_000, pause: Duration::from_millis(10) }, 502;
    large: Behaviour::Large { bytes: 2 << 20, is_chunked: true }, 200;
    large_without_end: Behaviour::RawStall(ENDLESS_BODY, 300_000), 502;
    larger_than_what_is_held: Behaviour::Large { bytes: 5 << 20, is_chunked: true }, 200;
}}

// Guards against streams that an instance accepts and cuts because its only peer, which began to stop
// before it, serves no new clients.
#[test]
fn overlapping_stops_cut_no_stream() {
    run(async {
        let pair = start_pair().await?;
        let engine = pair.add_endpoint("writers", SHORT_STREAM).await?;
        let Pair { first, other, .. } = pair;
        until_all_have([&first], "serving_peers", 1).await?;
        let other_stopping = begin_stop(other).await?;
        until_all_have([&first], "serving_peers", 0).await?;
        let client = first.addresses().client;
        let stopping = begin_stop(first).await?;
        for route in ["draft", "sort"] {
            let answer = RawClient::ask(client, route, route, SHORT_PROMPT).await?;
            assert_eq!(answer.status, 503, "{route}");
            assert_eq!(engine.runs(route), 0, "{route}");
        }
        other_stopping.await?;
        stopping.await?;
        Ok(())
    });
}

/// Fills an engine with streams until one waits for room, stops the instance, and checks that the one that
/// waits is refused, although the engine has room soon after.
fn waiting_stream_is_refused(route: &str) {
    run(async {
        let plan = RoutingPlan { target_ms: 100, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let engine = site.add_endpoint("writers", "e-1", OPEN_STREAM).await?;
        engine.hold_ends(true);
        let mut clients = send_until_one_waits(&site, &engine, route, PROMPT_HEADERS).await?;
        let (id, mut waiting) = clients.pop().expect("a request waits");
        let stopping = begin_stop(site.instance).await?;
        engine.hold_ends(false);
        assert_eq!(waiting.answer().await?.status, 503);
        assert_eq!(engine.runs(&id), 0);
        stopping.await?;
        Ok(())
    });
}

// Guards against streams that wait for room as the stop begins, are sent late and cut.
cases! {waiting_stream_is_refused {
    unrepeatable: "draft";
    resumable: "sort";
}}

// Guards against broken streams that wait for room as the stop begins, are run again late and cut, though
// their clients could resume them elsewhere at once.
#[test]
fn broken_streams_that_wait_are_not_run_again() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let part = Behaviour::StreamPart { events: 5, rest: "", end: StreamEnd::Reset };
        let first = site.add_endpoint("writers", "e-1", part).await?;
        let second = site.add_endpoint("writers", "e-2", part).await?;
        let engines = [&first, &second];
        for engine in engines {
            engine.hold_ends(true);
        }
        let addresses = site.instance.addresses();
        let runs = |id: &str| engines.iter().map(|e| e.runs(id)).sum::<usize>();
        let mut clients = Vec::new();
        for number in 0..16 {
            let id = format!("a{number}");
            let mut client = RawClient::connect(addresses.client).await?;
            client.send(&request("sort", &id, "key-1", PROMPT_HEADERS)).await?;
            until("the stream runs", async || Ok(runs(&id) == 1)).await?;
            clients.push((id, client));
        }
        first.hold_ends(false);
        until(
            "a broken stream waits",
            async || Ok(metric(addresses.metrics, "waiting").await? > 0),
        )
        .await?;
        let stopping = begin_stop(site.instance).await?;
        second.hold_ends(false);
        for (id, mut client) in clients {
            assert!(!client.answer().await?.is_whole);
            assert_eq!(runs(&id), 1, "{id}");
        }
        stopping.await?;
        Ok(())
    });
}
