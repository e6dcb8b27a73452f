//! Several instances that exchange heartbeats.

use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Fault, Generations, RawClient, RoutingPlan, Store, StoreListener,
};
use nutmeggrade_relay::{Addresses, Instance};
use tokio::time::sleep;

use super::PROMPT_HEADERS;
use super::members::{Pair, start_member, start_pair, until_all_have, until_listed};
use super::site::{metric, start_generation, start_instance};
use crate::support::{run, until};

// Instances find each other through one seed address. An instance that stops as planned is no
// longer listed at once, and one that dies is no longer listed after some missed heartbeats.
#[test]
fn directory_names_who_is_there() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let first = start_instance("i-1", &store_listener, "").await?;
        let other = start_member(&first, 2, &store_listener).await?;
        until_listed(&first, 2).await?;
        until_listed(&other, 2).await?;
        drop(other);
        until_listed(&first, 1).await?;
        let other = start_member(&first, 2, &store_listener).await?;
        until_listed(&first, 2).await?;
        let stopping = tokio::spawn(other.stop());
        until_listed(&first, 1).await?;
        stopping.await?;
        Ok(())
    });
}

// The store refuses one instance and serves the other. The refused instance gets a new
// configuration version and a new endpoint from its peer.
#[test]
fn refused_instance_gets_changes_from_its_peer() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = start_pair().await?;
        other_listener.set(Fault::Refuse);
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        let plan = RoutingPlan { version: 5, has_late: true, ..RoutingPlan::default() };
        store.put("config", "main", plan.content());
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let metrics = other.addresses().metrics;
        until(
            "the version of the peer",
            async || Ok(metric(metrics, "config_version").await? == 5),
        )
        .await?;
        until("the endpoint of the peer", async || Ok(metric(metrics, "endpoints").await? == 1))
            .await?;
        let answer = RawClient::ask(other.addresses().client, "late", "a1", "").await?;
        assert_eq!(answer.status, 200);
        Ok(())
    });
}

// A watch of the store stalls without being closed. Heartbeats of the peer announce a change, so
// the instance reads the store again instead of waiting for the watch.
#[test]
fn silent_watch_is_noticed_by_a_peers_news() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = start_pair().await?;
        other_listener.set(Fault::Silent);
        store.put("config", "main", RoutingPlan { version: 3, ..Default::default() }.content());
        let metrics = other.addresses().metrics;
        until("the newer version is in force", async || {
            Ok(metric(metrics, "config_version").await? == 3)
        })
        .await
    });
}

// The watches of the store miss the removal of an endpoint, and then the history of the store is
// gone. One instance finds the removal by a new listing; the other one, whose watch is still
// stalled, has to get it from its peer.
#[test]
fn removal_found_by_listing_reaches_peers() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = start_pair().await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let metrics = other.addresses().metrics;
        until("the endpoints are listed", async || Ok(metric(metrics, "endpoints").await? == 1))
            .await?;
        other_listener.set(Fault::Silent);
        store.remove("servers", "e-1");
        store.drop_history();
        until("the endpoints are removed", async || Ok(metric(metrics, "endpoints").await? == 0))
            .await
    });
}

// The same with 400 endpoints. Their names together exceed the size of a datagram that is read.
#[test]
fn hundreds_of_removals_reach_peers() {
    run(async {
        let Pair { store, other, other_listener, first, .. } = start_pair().await?;
        let name = |n: u16| format!("an-endpoint-with-a-long-name-{n:03}");
        for n in 0..400 {
            let address = format!("127.0.0.1:{}", 20_000 + n).parse()?;
            store.put("servers", &name(n), Entry::new("desk", address).content());
        }
        until_all_have([&first, &other], "endpoints", 400).await?;
        other_listener.set(Fault::Silent);
        (0..400).for_each(|n| store.remove("servers", &name(n)));
        store.drop_history();
        let metrics = other.addresses().metrics;
        until("the endpoints are removed", async || Ok(metric(metrics, "endpoints").await? == 0))
            .await
    });
}

// The store refuses one instance after the other while the configuration changes, and then serves
// it again. An instance that does not watch the store has to notice the end of the outage as well:
// a request to a route that does not exist gets 404 again and not an answer that allows for a route
// in a newer configuration.
#[test]
fn outage_ends_for_those_that_do_not_watch() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let first = start_instance("i-1", &store.open_listener().await?, "").await?;
        let members = start_eight_more(&first, &store).await?;
        for ((instance, store_listener), version) in members.iter().zip(2..) {
            let Addresses { metrics, client, .. } = instance.addresses();
            store_listener.set(Fault::Refuse);
            store.put("config", "main", RoutingPlan { version, ..Default::default() }.content());
            let newest = async || Ok(metric(metrics, "config_version").await? == version);
            until("the newest version, from a peer", newest).await?;
            store_listener.set(Fault::None);
            let is_unknown =
                async || Ok(RawClient::ask(client, "nowhere", "a1", "").await?.status == 404);
            until("the route is reported as unknown", is_unknown).await?;
        }
        Ok(())
    });
}

/// Starts eight more instances beside the first, each with its own address of the store, and waits
/// until each has eight peers.
async fn start_eight_more(
    first: &Instance,
    store: &Store,
) -> anyhow::Result<Vec<(Instance, StoreListener)>> {
    let mut members = Vec::new();
    for number in 2..=9 {
        let store_listener = store.open_listener().await?;
        members.push((start_member(first, number, &store_listener).await?, store_listener));
    }
    until_all_have(members.iter().map(|(instance, _)| instance), "peers", 8).await?;
    Ok(members)
}

// More instances run than watch the configuration. Those that don't watch the store get a new
// version, and the removal of a failure domain, from those that do.
#[test]
fn changes_reach_those_that_do_not_watch() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let first = start_instance("i-1", &store_listener, "").await?;
        let mut members = start_eight_more(&first, &store).await?;
        members.push((first, store_listener));
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let instances = || members.iter().map(|(instance, _)| instance);
        until_all_have(instances(), "endpoints", 1).await?;
        store.put("config", "main", RoutingPlan { version: 7, ..Default::default() }.content());
        until_all_have(instances(), "config_version", 7).await?;
        store.put("evacuations", "veluwe", serde_json::json!({}));
        until_all_have(instances(), "endpoints", 0).await?;
        store.remove("evacuations", "veluwe");
        until_all_have(instances(), "endpoints", 1).await
    });
}

async fn until_refused(endpoint: &Endpoint) -> anyhow::Result<()> {
    let is_refused = async || Ok(tokio::net::TcpStream::connect(endpoint.address).await.is_err());
    until("connections are refused", is_refused).await
}

async fn until_notified(instance: &Instance, times: u64) -> anyhow::Result<()> {
    let metrics = instance.addresses().metrics;
    let is_notified = async || Ok(metric(metrics, "told_gone_total").await? >= times);
    until("the peer is notified that the endpoint is gone", is_notified).await
}

// An endpoint dies and its entry stays. One instance gets a refused connection; the other one is
// notified before it sends anything to the endpoint.
#[test]
fn endpoint_that_is_gone_is_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        let endpoint = pair.add_endpoint("desk", Behaviour::Answer).await?;
        endpoint.kill();
        until_refused(&endpoint).await?;
        let answer = RawClient::ask(pair.first.addresses().client, "once", "a1", "").await?;
        assert_eq!(answer.status, 503);
        until_notified(&pair.other, 1).await
    });
}

// An endpoint dies during a request, and its connection breaks before any connection to it is
// refused. The lost answer alone makes this instance avoid the endpoint; the other instance has no
// evidence yet and is notified.
#[test]
fn endpoint_that_died_under_a_request_is_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        let _endpoint = pair.add_endpoint("desk", Behaviour::Crash).await?;
        let answer = RawClient::ask(pair.first.addresses().client, "once", "a1", "").await?;
        assert_eq!(answer.status, 502);
        until_notified(&pair.other, 1).await
    });
}

// An engine dies in the middle of a stream. The other instance is notified as well.
#[test]
fn engine_that_died_under_a_stream_is_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        let stream = Behaviour::Stream { events: 1_000, pause: Duration::from_millis(15) };
        let engine = pair.add_endpoint("writers", stream).await?;
        let mut client =
            start_generation(pair.first.addresses().client, "draft", "a1", &engine).await?;
        engine.kill();
        assert!(!client.answer().await.is_ok_and(|a| a.is_whole));
        until_notified(&pair.other, 1).await
    });
}

/// Checks that peers are notified of an endpoint that accepts connections and breaks all of them,
/// for as long as it does.
fn breaking_endpoint_is_told_to_peers(service: &str, route: &str) {
    run(async {
        let pair = start_pair().await?;
        pair.add_endpoint(service, Behaviour::CloseAll).await?;
        let client = pair.first.addresses().client;
        let lost = RawClient::ask(client, route, "a1", PROMPT_HEADERS).await?;
        assert_eq!(lost.status, 502);
        until_notified(&pair.other, 3).await
    });
}

// An endpoint is down behind an address that still accepts connections. Without notifications each
// instance would lose a request to find out, which for a generation is the whole answer.
cases! {breaking_endpoint_is_told_to_peers {
    engine: "writers", "draft";
    plain: "desk", "once";
}}

// An endpoint fails all requests while its entry says that it is healthy. The failures that one
// instance has seen there need not be repeated by the other.
#[test]
fn failing_endpoint_is_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        for (id, behaviour) in [("e-1", Behaviour::Fail), ("e-2", Behaviour::Answer)] {
            let endpoint = Endpoint::start(id, behaviour, &Generations::default()).await?;
            let entry = Entry::new("desk", endpoint.address);
            pair.store.put("servers", id, entry.content());
        }
        until_all_have([&pair.first, &pair.other], "endpoints", 2).await?;
        let ask = async |instance: &Instance, id: String| {
            let client = instance.addresses().client;
            anyhow::Ok(RawClient::ask(client, "once", &id, PROMPT_HEADERS).await?.status)
        };
        let together = (0..16).map(|number| ask(&pair.first, format!("a{number}")));
        let answers = join_all(together).await;
        let failed = answers.iter().filter(|a| a.as_ref().is_ok_and(|status| *status == 500));
        assert!(failed.count() >= 2);
        sleep(Duration::from_millis(300)).await;
        for number in 0..60 {
            assert_eq!(ask(&pair.other, format!("b{number}")).await?, 200);
        }
        Ok(())
    });
}

// An engine dies while the store is unavailable, so that its entry stays. One instance queries the
// engine repeatedly, gets refused connections, and repeats its notification each time: a
// notification is valid for half a second, after which the engine would look like the least loaded
// of all.
#[test]
fn engine_that_stays_gone_is_told_again() {
    run(async {
        let pair = start_pair().await?;
        let engine = pair.add_endpoint("writers", Behaviour::Answer).await?;
        engine.kill();
        until_refused(&engine).await?;
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        let notifications = async |instance: &Instance| {
            metric(instance.addresses().metrics, "told_gone_total").await
        };
        let is_repeated =
            async || Ok(notifications(&pair.first).await? + notifications(&pair.other).await? >= 3);
        until("the notification is repeated", is_repeated).await
    });
}

// Entries lapse while the store is unavailable, and its history is gone when it is back, so that
// instances list again. An entry that is missing from a listing may come back. If peers were
// notified that it left, the endpoint would be out of service there for good, though it runs and
// writes its entry again.
#[test]
fn endpoint_that_is_missing_is_not_told_to_leave() {
    run(async {
        let pair = start_pair().await?;
        let endpoint = pair.add_endpoint("desk", Behaviour::Answer).await?;
        let instances = [&pair.first, &pair.other];
        let calls = async |instance: &Instance, end: &str| {
            let name = format!("store_calls_total{{end=\"{end}\",kind=\"endpoints\"}}");
            metric(instance.addresses().metrics, &name).await
        };
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        let mut answered = Vec::new();
        for instance in instances {
            until("calls to the store fail", async || Ok(calls(instance, "failed").await? > 0))
                .await?;
            answered.push(calls(instance, "ok").await?);
        }
        pair.store.remove("servers", "e-1");
        pair.store.drop_history();
        pair.first_listener.set(Fault::None);
        pair.other_listener.set(Fault::None);
        for (instance, before) in instances.into_iter().zip(answered) {
            until("the endpoints are listed again", async || {
                Ok(calls(instance, "ok").await? > before)
            })
            .await?;
        }
        pair.store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        for instance in instances {
            let client = instance.addresses().client;
            let is_served =
                async || Ok(RawClient::ask(client, "once", "a1", "").await?.status == 200);
            until("the endpoint is back", is_served).await?;
        }
        Ok(())
    });
}
