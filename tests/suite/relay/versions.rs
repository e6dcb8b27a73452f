//! Streams of engines that serve side by side in several software versions.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, Endpoint, Entry, RawClient, RoutingPlan, request};

use nutmeggrade_relay::Instance;
use serde_json::json;

use super::PROMPT_HEADERS;
use super::members::{Pair, start_pair, until_all_have};
use super::site::{Site, start_generation};
use super::streams::events;
use crate::support::{run, until};

const STREAM: Behaviour = Behaviour::Stream { events: 80, pause: Duration::from_millis(10) };

/// Starts engines with these versions beside the first one, and waits until the instance lists them.
async fn add_engines(site: &Site, versions: &[&str]) -> anyhow::Result<Vec<Endpoint>> {
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let id = format!("other-{number}");
        engines.push(site.add_versioned_endpoint("writers", &id, version, STREAM).await?);
    }
    site.until_metric("endpoints", versions.len() as u64 + 1).await?;
    Ok(engines)
}

/// Returns the versions of the engines that got a request.
fn versions_of<'a>(engines: &[Endpoint], versions: &[&'a str], id: &str) -> Vec<&'a str> {
    let got = |engine: &Endpoint| engine.seen().iter().any(|seen| seen.id() == id);
    engines.iter().zip(versions).filter(|(engine, _)| got(engine)).map(|(_, v)| *v).collect()
}

/// Kills the engine of a stream beside engines of these versions; checks that the stream goes on at its
/// own version or nowhere.
fn goes_on_after_a_crash(versions: &'static [&'static str], goes_on: bool) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.add_endpoint("writers", "e-1", STREAM).await?;
        let mut client = start_generation(site.client(), "sort", "a1", &first).await?;
        until("events are sent", async || Ok(site.generations.max_generated_events() > 5)).await?;
        let others = add_engines(&site, versions).await?;
        first.kill();
        let answer = client.answer().await?;
        assert_eq!(answer.is_whole, goes_on);
        let expected: &[&str] = if goes_on { &["v1"] } else { &[] };
        assert_eq!(versions_of(&others, versions, "a1"), expected);
        Ok(())
    });
}

// Guards against answers that hold events of two software versions, whose texts don't fit together.
cases! {goes_on_after_a_crash {
    at_its_version: &["v2", "v2", "v1", "v2"], true;
    without_its_version: &["v2", "v2"], false;
}}

/// Lets the engine of a stream leave beside engines of these versions; checks that the stream moves to
/// its own version or stays.
fn moves_from_a_leaving_engine(versions: &'static [&'static str], moves: bool) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let first = site.add_endpoint("writers", "e-1", STREAM).await?;
        let mut client = start_generation(site.client(), "draft", "a1", &first).await?;
        let others = add_engines(&site, versions).await?;
        let entry = Entry::new("writers", first.address).with_leaving(true);
        site.store.put("servers", "e-1", entry.content());
        let answer = client.answer().await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body), (1..=80).collect::<Vec<u64>>());
        let expected: &[&str] = if moves { &["v1"] } else { &[] };
        assert_eq!(versions_of(&others, versions, "a1"), expected);
        Ok(())
    });
}

// Guards against generations that are moved to another software version.
cases! {moves_from_a_leaving_engine {
    to_its_version: &["v2", "v2", "v1", "v2"], true;
    without_its_version: &["v2", "v2"], false;
}}

/// Starts engines with these versions and waits until both instances list them.
async fn add_to_pair(pair: &Pair, versions: &[&str]) -> anyhow::Result<Vec<Endpoint>> {
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let entry = |address| Entry::new("writers", address).with_version(version);
        engines.push(pair.start_endpoint(&format!("e-{number}"), STREAM, entry).await?);
    }
    until_all_have([&pair.first, &pair.other], "endpoints", versions.len() as u64).await?;
    Ok(engines)
}

/// Headers of a request that takes up the stream of an attempt behind the second event.
fn taking_up(attempt: &str) -> String {
    format!("{PROMPT_HEADERS}Last-Event-Id: 2\r\nResumes: {attempt}\r\n")
}

/// Takes the stream of the attempt `aN` up at an instance, and checks that it goes on at its version.
async fn assert_taken_up(
    instance: &Instance,
    number: usize,
    engines: &[Endpoint],
    versions: &[&str],
) -> anyhow::Result<()> {
    let (begun, taken_up) = (format!("a{number}"), format!("b{number}"));
    let client = instance.addresses().client;
    let answer = RawClient::ask(client, "sort", &taken_up, &taking_up(&begun)).await?;
    assert_eq!(answer.status, 200, "{number}");
    assert_eq!(events(&answer.message.body), (3..=80).collect::<Vec<u64>>());
    let version = versions_of(engines, versions, &begun);
    assert_eq!(versions_of(engines, versions, &taken_up), version, "{number}");
    Ok(())
}

// Guards against streams that clients take up at another instance, which go on at another software
// version than the one that began them.
#[test]
fn stream_that_is_taken_up_elsewhere_keeps_its_version() {
    run(async {
        let versions = ["v1", "v2", "v3"];
        let pair = start_pair().await?;
        let engines = add_to_pair(&pair, &versions).await?;
        for number in 0..12 {
            let begun = format!("a{number}");
            let mut client = RawClient::connect(pair.first.addresses().client).await?;
            client.send(&request("sort", &begun, "key-1", PROMPT_HEADERS)).await?;
            client.read_at_least(300).await?;
            drop(client);
            assert_taken_up(&pair.other, number, &engines, &versions).await?;
        }
        Ok(())
    });
}

/// Checks that a request which names a stream that it can't go on with is refused and runs nowhere.
fn taking_up_is_refused(key: &'static str, headers: fn() -> String) {
    run(async {
        let versions = ["v1", "v2"];
        let pair = start_pair().await?;
        let mut content = RoutingPlan { version: 2, ..RoutingPlan::default() }.content();
        let further = json!({ "name": "further", "api_keys": ["key-2"] });
        content["tenants"].as_array_mut().expect("a list").push(further);
        pair.store.put("config", "main", content);
        until_all_have([&pair.first, &pair.other], "config_version", 2).await?;
        let engines = add_to_pair(&pair, &versions).await?;
        let mut begun = RawClient::connect(pair.first.addresses().client).await?;
        begun.send(&request("sort", "a1", "key-1", PROMPT_HEADERS)).await?;
        begun.read_at_least(300).await?;
        let mut client = RawClient::connect(pair.other.addresses().client).await?;
        client.send(&request("sort", "b1", key, &headers())).await?;
        let answer = client.answer().await?;
        let body = String::from_utf8_lossy(&answer.message.body).into_owned();
        assert_eq!(answer.status, 503, "{body}");
        assert!(body.contains("stream_ended"), "{body}");
        assert_eq!(answer.message.header("retry-after"), None);
        assert_eq!(versions_of(&engines, &versions, "b1"), Vec::<&str>::new());
        Ok(())
    });
}

// Guards against streams of two versions where nobody knows which one began the stream, and against
// clients that take up streams of other workspaces.
cases! {taking_up_is_refused {
    of_an_unknown_attempt: "key-1", || taking_up("never");
    of_no_attempt: "key-1", || format!("{PROMPT_HEADERS}Last-Event-Id: 2\r\n");
    of_another_workspace: "key-2", || taking_up("a1");
}}

// Guards against a client that waits for a version whose last endpoint is gone.
#[test]
fn stream_of_a_version_that_is_gone_is_refused() {
    run(async {
        let versions = ["v1", "v2"];
        let pair = start_pair().await?;
        let engines = add_to_pair(&pair, &versions).await?;
        let client = pair.first.addresses().client;
        assert!(RawClient::ask(client, "sort", "a1", PROMPT_HEADERS).await?.is_whole);
        let version = versions_of(&engines, &versions, "a1")[0];
        let gone = versions.iter().position(|v| *v == version).expect("a known version");
        pair.store.remove("servers", engines[gone].id());
        until_all_have([&pair.first, &pair.other], "endpoints", 1).await?;
        let address = pair.other.addresses().client;
        let answer = RawClient::ask(address, "sort", "b1", &taking_up("a1")).await?;
        assert_eq!(answer.status, 503);
        assert_eq!(versions_of(&engines, &versions, "b1"), Vec::<&str>::new());
        Ok(())
    });
}

// Guards against streams that nobody knows after the instances that served them were restarted, where
// the service has one version only.
#[test]
fn stream_of_the_only_version_is_taken_up() {
    run(async {
        let versions = ["v1", "v1"];
        let pair = start_pair().await?;
        add_to_pair(&pair, &versions).await?;
        let address = pair.other.addresses().client;
        let answer = RawClient::ask(address, "sort", "b1", &taking_up("never")).await?;
        assert_eq!(answer.status, 200);
        assert_eq!(events(&answer.message.body), (3..=80).collect::<Vec<u64>>());
        Ok(())
    });
}

// Guards against streams whose version is forgotten with the instance that served them.
#[test]
fn stream_of_a_killed_instance_keeps_its_version() {
    run(async {
        let versions = ["v1", "v2", "v3"];
        let pair = start_pair().await?;
        let engines = add_to_pair(&pair, &versions).await?;
        let mut clients = Vec::new();
        for number in 0..6 {
            let mut client = RawClient::connect(pair.first.addresses().client).await?;
            let id = format!("a{number}");
            client.send(&request("sort", &id, "key-1", PROMPT_HEADERS)).await?;
            client.read_at_least(300).await?;
            clients.push(client);
        }
        let Pair { first, other, .. } = pair;
        drop(first);
        for number in 0..6 {
            assert_taken_up(&other, number, &engines, &versions).await?;
        }
        Ok(())
    });
}
