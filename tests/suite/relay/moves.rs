//! Generations whose engine leaves.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, Endpoint, Entry, Fault, RawClient, RoutingPlan};

use super::site::{Site, generation, metric};
use super::streams::events;
use crate::support::{run, until};

const PAUSE: Duration = Duration::from_millis(15);

/// Asks for a stream and waits until the engine runs it.
async fn begin(site: &Site, route: &str, engine: &Endpoint) -> anyhow::Result<RawClient> {
    let client = generation(site.client(), route, "a1", engine).await?;
    engine.announce_leave(Duration::from_millis(600));
    Ok(client)
}

/// Checks that a client gets a whole answer of so many events, in order and each once.
async fn comes_whole(client: &mut RawClient, count: u64) -> anyhow::Result<()> {
    let answer = client.answer().await?;
    assert!(answer.is_whole);
    assert_eq!(events(&answer.message.body), (1..=count).collect::<Vec<u64>>());
    Ok(())
}

fn drain(site: &Site, first: &Endpoint) {
    let entry = Entry::new("writers", first.address).with_leaving(true);
    site.store.put("servers", "e-1", entry.content());
}

fn vanish(site: &Site, _: &Endpoint) {
    site.store.remove("servers", "e-1");
}

/// Checks that a stream goes on whole, in order and once when its engine leaves.
fn goes_on(route: &str, how: fn(&Site, &Endpoint)) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 120, pause: PAUSE };
        let first = site.endpoint("writers", "e-1", stream).await?;
        let mut client = begin(&site, route, &first).await?;
        let second = site.endpoint("writers", "e-2", stream).await?;
        how(&site, &first);
        comes_whole(&mut client, 120).await?;
        let resumed = second.seen().into_iter().find(|s| s.id() == "a1");
        let resumed = resumed.expect("the second engine went on");
        let from = resumed.message.header("kv-from").unwrap_or_default();
        assert!(from.starts_with(&first.address.to_string()), "{from}");
        Ok(())
    });
}

// An engine is reclaimed. It says so, or its entry just vanishes. The client sees one stream.
cases! {goes_on {
    drained: "draft", drain;
    vanished: "draft", vanish;
    resumable: "sort", drain;
}}

// An engine leaves and there is nowhere to go. The generation ends there if it can, and nothing is
// cut before.
#[test]
fn generation_that_finds_no_room_ends_where_it_is() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 60, pause: PAUSE };
        let first = site.endpoint("writers", "e-1", stream).await?;
        let mut client = begin(&site, "draft", &first).await?;
        drain(&site, &first);
        let answer = client.answer().await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body).len(), 60);
        Ok(())
    });
}

// Four generations run on an engine that is reclaimed. Copies queue on its link, and a generation
// that is stopped while another is copied stands still behind it, as its client sees. They are
// copied one after another, and all arrive.
#[test]
fn generations_take_turns() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 150, pause: PAUSE };
        let first = site.endpoint("writers", "e-1", stream).await?;
        let mut clients = Vec::new();
        for id in ["a1", "a2", "a3", "a4"] {
            clients.push(generation(site.client(), "draft", id, &first).await?);
        }
        site.endpoint("writers", "e-2", stream).await?;
        first.announce_leave(Duration::from_secs(2));
        drain(&site, &first);
        for client in &mut clients {
            comes_whole(client, 150).await?;
        }
        assert_eq!(site.generations.max_concurrent_copies(), 1);
        Ok(())
    });
}

// An engine that is reclaimed says that it goes in a tenth of a second, which is old news: it lives
// longer, as most do. Whoever believes it begins no copy, and every answer is cut when the engine
// does go. All generations move for as long as the engine answers.
#[test]
fn copies_are_begun_past_the_time_that_the_engine_told() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stream = Behaviour::Stream { events: 150, pause: PAUSE };
        let first = site.endpoint("writers", "e-1", stream).await?;
        let mut clients = Vec::new();
        for id in ["a1", "a2", "a3"] {
            clients.push(generation(site.client(), "draft", id, &first).await?);
        }
        let second = site.endpoint("writers", "e-2", stream).await?;
        first.announce_leave(Duration::from_millis(100));
        drain(&site, &first);
        for client in &mut clients {
            comes_whole(client, 150).await?;
        }
        assert_eq!(second.seen().len(), 3);
        Ok(())
    });
}

/// Failed calls to the store for endpoints.
const FAILED: &str = "store_calls_total{end=\"failed\",kind=\"endpoints\"}";

/// Begins a generation at the first of three engines.
async fn begin_of_three(site: &Site) -> anyhow::Result<(RawClient, [Endpoint; 3])> {
    let stream = Behaviour::Stream { events: 400, pause: PAUSE };
    let first = site.endpoint("writers", "e-1", stream).await?;
    let client = generation(site.client(), "draft", "a1", &first).await?;
    let second = site.endpoint("writers", "e-2", stream).await?;
    let third = site.endpoint("writers", "e-3", stream).await?;
    Ok((client, [first, second, third]))
}

async fn until_moved(engines: &[Endpoint; 3]) -> anyhow::Result<()> {
    let is_there = |engine: &Endpoint| !engine.seen().is_empty();
    until("the generation moved", async || Ok(engines[1..].iter().any(is_there))).await
}

// The store is back after an outage, and an engine leaves without a word. Its entry could have lapsed
// with the store and may come back for two seconds, by when the engine is gone. The generation moves
// while the entry is still waited for.
#[test]
fn generation_leaves_an_engine_that_is_missing_after_an_outage() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let (mut client, engines) = begin_of_three(&site).await?;
        let metrics = site.instance.addresses().metrics;
        site.store_listener.set(Fault::Refuse);
        until("the store is missed", async || Ok(metric(metrics, FAILED).await? > 0)).await?;
        site.store.remove("servers", "e-1");
        site.store_listener.set(Fault::None);
        until_moved(&engines).await?;
        assert_eq!(metric(metrics, "endpoints").await?, 3);
        assert!(client.answer().await?.is_whole);
        Ok(())
    });
}

// The store falls silent in the moment at which an engine is told that it is reclaimed. A call is given
// up after more than two seconds, and the engine is gone by then. It is asked itself as soon as the
// store's answer is overdue.
#[test]
fn generation_leaves_an_engine_while_the_store_falls_silent() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let (mut client, engines) = begin_of_three(&site).await?;
        let metrics = site.instance.addresses().metrics;
        site.store_listener.set(Fault::Silent);
        engines[0].announce_leave(Duration::from_secs(2));
        until_moved(&engines).await?;
        assert_eq!(metric(metrics, FAILED).await?, 0);
        assert!(client.answer().await?.is_whole);
        Ok(())
    });
}
