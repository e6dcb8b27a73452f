//! Several instances.

use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Fault, Generations, RawClient, RoutingPlan, Store, StoreListener,
};
use nutmeggrade_relay::{Addresses, Instance, LogBuffer};
use tokio::time::sleep;

use super::PROMPT;
use super::site::{generation, get, instance, metric, settings};
use crate::support::{run, until};

async fn entries(instance: &Instance) -> anyhow::Result<usize> {
    let path = "/nutmeggrade/resolution?name=desk.example&region=x&zone=veluwe";
    let text = get(instance.addresses().directory, path).await?;
    let answer: serde_json::Value = serde_json::from_str(&text)?;
    Ok(answer["addresses"].as_array().map_or(0, Vec::len))
}

async fn until_entries(instance: &Instance, count: usize) -> anyhow::Result<()> {
    until("the directory names them", async || Ok(entries(instance).await? == count)).await
}

/// Starts an instance whose heartbeats come in at the same port as the first one's, at another
/// address of the loopback network.
async fn second(first: &Instance, store_listener: &StoreListener) -> anyhow::Result<Instance> {
    let beacon = first.addresses().beacon;
    let own = format!("127.0.0.2:{}", beacon.port());
    let settings = settings("i-2", store_listener, &first.addresses().control.to_string(), &own)?;
    Instance::start(&settings, &LogBuffer::new(), 1).await
}

/// Two instances that hear each other, each with its own way into the store.
pub struct Pair {
    pub store: Store,
    pub first: Instance,
    first_listener: StoreListener,
    pub other: Instance,
    pub other_listener: StoreListener,
}

/// Starts two instances and waits until they hear each other.
pub async fn pair() -> anyhow::Result<Pair> {
    let store = Store::new();
    store.put("config", "main", RoutingPlan::default().content());
    let (first_listener, other_listener) =
        (store.open_listener().await?, store.open_listener().await?);
    let first = instance("i-1", &first_listener, "").await?;
    let other = second(&first, &other_listener).await?;
    until_entries(&other, 2).await?;
    Ok(Pair { store, first, first_listener, other, other_listener })
}

// Instances find each other by one address. One that is stopped is no longer named at once, and one
// that dies is no longer named after some heartbeats.
#[test]
fn directory_names_who_is_there() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let first = instance("i-1", &store_listener, "").await?;
        let other = second(&first, &store_listener).await?;
        until_entries(&first, 2).await?;
        until_entries(&other, 2).await?;
        drop(other);
        until_entries(&first, 1).await?;
        let other = second(&first, &store_listener).await?;
        until_entries(&first, 2).await?;
        let stopping = tokio::spawn(other.stop());
        until_entries(&first, 1).await?;
        stopping.await?;
        Ok(())
    });
}

// The store turns one instance away and serves the other. A new version and a new endpoint reach the
// first one by the second.
#[test]
fn instance_that_is_turned_away_learns_from_its_peer() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = pair().await?;
        other_listener.set(Fault::Refuse);
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        let plan = RoutingPlan { version: 5, has_late: true, ..RoutingPlan::default() };
        store.put("config", "main", plan.content());
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let metrics = other.addresses().metrics;
        until("its peer's version", async || Ok(metric(metrics, "config_version").await? == 5))
            .await?;
        until("its peer's endpoint", async || Ok(metric(metrics, "endpoints").await? == 1)).await?;
        let answer = RawClient::ask(other.addresses().client, "late", "a1", "").await?;
        assert_eq!(answer.status, 200);
        Ok(())
    });
}

// A connection to the store goes silent without an end. The peer's heartbeats tell that there was
// news, so the instance asks again instead of waiting.
#[test]
fn silent_watch_is_noticed_by_a_peers_news() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = pair().await?;
        other_listener.set(Fault::Silent);
        store.put("config", "main", RoutingPlan { version: 3, ..Default::default() }.content());
        let metrics = other.addresses().metrics;
        until("the newer version", async || Ok(metric(metrics, "config_version").await? == 3)).await
    });
}

// The store's watches hear nothing while an endpoint goes, and then its history is gone. One instance
// finds out by a new listing; the other's watch is silent still, and must not wait for its end.
#[test]
fn what_a_listing_finds_is_handed_on() {
    run(async {
        let Pair { store, other, other_listener, first: _first, .. } = pair().await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let metrics = other.addresses().metrics;
        until("known", async || Ok(metric(metrics, "endpoints").await? == 1)).await?;
        other_listener.set(Fault::Silent);
        store.remove("servers", "e-1");
        store.drop_history();
        until("gone", async || Ok(metric(metrics, "endpoints").await? == 0)).await
    });
}

// The same with some hundreds of endpoints. Their names together are larger than a datagram that is read.
#[test]
fn hundreds_that_a_listing_finds_gone_are_handed_on() {
    run(async {
        let Pair { store, other, other_listener, first, .. } = pair().await?;
        let name = |n: u16| format!("an-endpoint-with-a-long-name-{n:03}");
        for n in 0..400 {
            let address = format!("127.0.0.1:{}", 20_000 + n).parse()?;
            store.put("servers", &name(n), Entry::new("desk", address).content());
        }
        for instance in [&first, &other] {
            let metrics = instance.addresses().metrics;
            until("known", async || Ok(metric(metrics, "endpoints").await? == 400)).await?;
        }
        other_listener.set(Fault::Silent);
        (0..400).for_each(|n| store.remove("servers", &name(n)));
        store.drop_history();
        let metrics = other.addresses().metrics;
        until("gone", async || Ok(metric(metrics, "endpoints").await? == 0)).await
    });
}

// The store turns one instance after the other away while the configuration changes, and then answers
// it again. One that does not watch the store finds out, too: a route that does not exist is answered
// as such, and not as one that may have come in the meantime.
#[test]
fn outage_ends_for_those_that_do_not_watch() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let first = instance("i-1", &store.open_listener().await?, "").await?;
        let all = join(&first, &store).await?;
        for ((instance, store_listener), version) in all.iter().zip(2..) {
            let Addresses { metrics, client, .. } = instance.addresses();
            store_listener.set(Fault::Refuse);
            store.put("config", "main", RoutingPlan { version, ..Default::default() }.content());
            let newest = async || Ok(metric(metrics, "config_version").await? == version);
            until("the newest version, from a peer", newest).await?;
            store_listener.set(Fault::None);
            let absent =
                async || Ok(RawClient::ask(client, "nowhere", "a1", "").await?.status == 404);
            until("told that there is no such route", absent).await?;
        }
        Ok(())
    });
}

/// Starts eight more instances beside the first, each with its own way into the store, and waits until
/// each hears all others.
async fn join(first: &Instance, store: &Store) -> anyhow::Result<Vec<(Instance, StoreListener)>> {
    let (beacon, control) = (first.addresses().beacon, first.addresses().control);
    let mut all = Vec::new();
    for n in 2..=9 {
        let own = format!("127.0.0.{n}:{}", beacon.port());
        let store_listener = store.open_listener().await?;
        let settings = settings(&format!("i-{n}"), &store_listener, &control.to_string(), &own)?;
        all.push((Instance::start(&settings, &LogBuffer::new(), 1).await?, store_listener));
    }
    for (instance, _) in &all {
        let metrics = instance.addresses().metrics;
        until("peers", async || Ok(metric(metrics, "peers").await? == 8)).await?;
    }
    Ok(all)
}

// More instances run than follow the configuration. Those that don't watch the store get a new version,
// and a failure domain that was taken out, by word of those that do.
#[test]
fn changes_reach_those_that_do_not_watch() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let first = instance("i-1", &store_listener, "").await?;
        let mut all = join(&first, &store).await?;
        all.push((first, store_listener));
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let all_have = async |name, value| {
            for (instance, _) in &all {
                let metrics = instance.addresses().metrics;
                until(name, async || Ok(metric(metrics, name).await? == value)).await?;
            }
            Ok::<_, anyhow::Error>(())
        };
        all_have("endpoints", 1).await?;
        store.put("config", "main", RoutingPlan { version: 7, ..Default::default() }.content());
        all_have("config_version", 7).await?;
        store.put("evacuations", "veluwe", serde_json::json!({}));
        all_have("endpoints", 0).await?;
        store.remove("evacuations", "veluwe");
        all_have("endpoints", 1).await
    });
}

/// Puts an endpoint before both instances and waits until they know it.
async fn known(pair: &Pair, service: &str, behaviour: Behaviour) -> anyhow::Result<Endpoint> {
    let endpoint = Endpoint::start("e-1", behaviour, &Generations::default()).await?;
    pair.store.put("servers", "e-1", Entry::new(service, endpoint.address).content());
    for instance in [&pair.first, &pair.other] {
        let metrics = instance.addresses().metrics;
        until("known", async || Ok(metric(metrics, "endpoints").await? == 1)).await?;
    }
    Ok(endpoint)
}

async fn until_gone(endpoint: &Endpoint) -> anyhow::Result<()> {
    let gone = async || Ok(tokio::net::TcpStream::connect(endpoint.address).await.is_err());
    until("nobody listens", gone).await
}

async fn until_told(instance: &Instance, times: u64) -> anyhow::Result<()> {
    let metrics = instance.addresses().metrics;
    let told = async || Ok(metric(metrics, "told_gone_total").await? >= times);
    until("told that it is gone", told).await
}

// An endpoint died and its entry stays. One instance finds that nobody listens there; the other is
// told, before it sends anything there itself.
#[test]
fn endpoint_that_is_gone_is_told_to_peers() {
    run(async {
        let pair = pair().await?;
        let endpoint = known(&pair, "desk", Behaviour::Answer).await?;
        endpoint.kill();
        until_gone(&endpoint).await?;
        let answer = RawClient::ask(pair.first.addresses().client, "once", "a1", "").await?;
        assert_eq!(answer.status, 503);
        until_told(&pair.other, 1).await
    });
}

// An endpoint dies under a request, and its connection breaks before anybody finds that nobody listens
// there any more. The lost answer alone has this instance leave the endpoint alone; the other knows
// nothing yet and is told.
#[test]
fn endpoint_that_died_under_a_request_is_told_to_peers() {
    run(async {
        let pair = pair().await?;
        let _endpoint = known(&pair, "desk", Behaviour::Crash).await?;
        let answer = RawClient::ask(pair.first.addresses().client, "once", "a1", "").await?;
        assert_eq!(answer.status, 502);
        until_told(&pair.other, 1).await
    });
}

// An engine dies in the middle of a stream. The other instance is told as well.
#[test]
fn engine_that_died_under_a_stream_is_told_to_peers() {
    run(async {
        let pair = pair().await?;
        let stream = Behaviour::Stream { events: 1_000, pause: Duration::from_millis(15) };
        let engine = known(&pair, "writers", stream).await?;
        let mut client = generation(pair.first.addresses().client, "draft", "a1", &engine).await?;
        engine.kill();
        assert!(!client.answer().await.is_ok_and(|a| a.is_whole));
        until_told(&pair.other, 1).await
    });
}

/// Checks that an endpoint that takes connections and breaks all of them is told to the peers for as long as it
/// does.
fn breaking_endpoint_is_told_to_peers(service: &str, route: &str) {
    run(async {
        let pair = pair().await?;
        known(&pair, service, Behaviour::CloseAll).await?;
        let client = pair.first.addresses().client;
        let lost = RawClient::ask(client, route, "a1", PROMPT).await?;
        assert_eq!(lost.status, 502);
        until_told(&pair.other, 3).await
    });
}

// An endpoint is down behind an address that still takes connections. Each instance would lose a request to
// find out, which for a generation is the whole answer.
cases! {breaking_endpoint_is_told_to_peers {
    engine: "writers", "draft";
    plain: "desk", "once";
}}

// An endpoint fails all that it gets, and its entry says that it is well. What one instance has lost there the
// other need not lose.
#[test]
fn failing_endpoint_is_told_to_peers() {
    run(async {
        let pair = pair().await?;
        for (id, behaviour) in [("e-1", Behaviour::Fail), ("e-2", Behaviour::Answer)] {
            let endpoint = Endpoint::start(id, behaviour, &Generations::default()).await?;
            let entry = Entry::new("desk", endpoint.address);
            pair.store.put("servers", id, entry.content());
        }
        for instance in [&pair.first, &pair.other] {
            let metrics = instance.addresses().metrics;
            until("known", async || Ok(metric(metrics, "endpoints").await? == 2)).await?;
        }
        let ask = async |instance: &Instance, id: String| {
            let client = instance.addresses().client;
            anyhow::Ok(RawClient::ask(client, "once", &id, PROMPT).await?.status)
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

// An engine dies while the store is away, so that its entry stays. One instance asks it again and again
// and finds nobody. It says so again for as long as that is so: what a peer is told holds for half a
// second, after which the engine would look like the emptiest of all.
#[test]
fn engine_that_stays_gone_is_told_again() {
    run(async {
        let pair = pair().await?;
        let engine = known(&pair, "writers", Behaviour::Answer).await?;
        engine.kill();
        until_gone(&engine).await?;
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        let told = async |instance: &Instance| {
            metric(instance.addresses().metrics, "told_gone_total").await
        };
        let both = async || Ok(told(&pair.first).await? + told(&pair.other).await? >= 3);
        until("told again and again", both).await
    });
}

// Entries lapse while the store is away, and its history is gone when it is back, so that instances list
// anew. An entry that is missing from a listing may come back; told to the peers as leaving it would be out
// of service there for good, though the endpoint lives and writes its entry again.
#[test]
fn endpoint_that_is_missing_is_not_told_to_leave() {
    run(async {
        let pair = pair().await?;
        let endpoint = known(&pair, "desk", Behaviour::Answer).await?;
        let both = [&pair.first, &pair.other];
        let calls = async |instance: &Instance, end: &str| {
            let name = format!("store_calls_total{{end=\"{end}\",kind=\"endpoints\"}}");
            metric(instance.addresses().metrics, &name).await
        };
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        let mut answered = Vec::new();
        for instance in both {
            until("the store is missed", async || Ok(calls(instance, "failed").await? > 0)).await?;
            answered.push(calls(instance, "ok").await?);
        }
        pair.store.remove("servers", "e-1");
        pair.store.drop_history();
        pair.first_listener.set(Fault::None);
        pair.other_listener.set(Fault::None);
        for (instance, before) in both.into_iter().zip(answered) {
            until("it lists", async || Ok(calls(instance, "ok").await? > before)).await?;
        }
        pair.store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        for instance in both {
            let client = instance.addresses().client;
            let is_served =
                async || Ok(RawClient::ask(client, "once", "a1", "").await?.status == 200);
            until("the endpoint is back", is_served).await?;
        }
        Ok(())
    });
}
