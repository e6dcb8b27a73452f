//! Calls to the store, and what peers hand on of its objects.

use nutmeggrade_fakes::site::{Behaviour, Endpoint, Entry, Fault, Generations, RoutingPlan, Store};
use nutmeggrade_relay::Instance;

use super::fleet::{Pair, pair};
use super::site::{Site, get, instance, metric};
use crate::support::{run, until};

/// Asks an instance for all endpoints, as its peers do.
async fn known_endpoints(instance: &Instance) -> anyhow::Result<serde_json::Value> {
    let text = get(instance.addresses().control, "/known?kind=endpoints").await?;
    let answer: serde_json::Value = serde_json::from_str(&text)?;
    Ok(answer["known"]["Endpoints"].clone())
}

// Operators see how many calls the store gets and not what for.
#[test]
fn store_calls_are_counted_by_reason() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let instance = instance("i-1", &store.open_listener().await?, "").await?;
        let metrics = instance.addresses().metrics;
        let calls = async |kind: &str, reason: &str| {
            let labels = format!("kind=\"{kind}\",reason=\"{reason}\"");
            metric(metrics, &format!("store_call_reasons_total{{{labels}}}")).await
        };
        for kind in ["config", "endpoints", "evacuations"] {
            until("first listing", async || Ok(calls(kind, "first").await? == 1)).await?;
        }
        store.put("config", "main", RoutingPlan { version: 2, ..Default::default() }.content());
        until("a watch", async || Ok(calls("config", "watch").await? > 0)).await
    });
}

// A store that is away is asked for all kinds of objects, three times as often as needed.
#[test]
fn store_that_is_away_is_asked_for_one_kind() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let instance = instance("i-1", &store_listener, "").await?;
        let metrics = instance.addresses().metrics;
        until("ready", async || Ok(metric(metrics, "config_version").await? > 0)).await?;
        store_listener.set(Fault::Refuse);
        let failed = async |kind: &str| {
            metric(metrics, &format!("store_calls_total{{end=\"failed\",kind=\"{kind}\"}}")).await
        };
        until("asked often", async || Ok(failed("endpoints").await? >= 10)).await?;
        assert!(failed("config").await? + failed("evacuations").await? <= 5);
        let newest = RoutingPlan { version: 4, ..RoutingPlan::default() };
        store.put("config", "main", newest.content());
        store_listener.set(Fault::None);
        until("read again", async || Ok(metric(metrics, "config_version").await? == 4)).await
    });
}

// Two readers renew the end of an outage with each change, and endpoints that are gone get work for two seconds more.
#[test]
fn outage_is_over_while_endpoints_change() {
    run(async {
        let Pair { store, first, other, other_listener, .. } = pair().await?;
        let lapses = async |instance: &Instance| {
            let known = known_endpoints(instance).await?;
            Ok::<_, anyhow::Error>(known["lapses"].clone())
        };
        until("in steady state", async || Ok(lapses(&other).await? == false)).await?;
        other_listener.set(Fault::Refuse);
        until("the store is away", async || Ok(lapses(&other).await? == true)).await?;
        let address = "127.0.0.1:9".parse()?;
        let mut number = 0;
        let mut change = || {
            number += 1;
            store.put("servers", &format!("e-{number}"), Entry::new("desk", address).content());
        };
        change();
        other_listener.set(Fault::None);
        for instance in [&first, &other] {
            until("the outage is over", async || {
                change();
                Ok(lapses(instance).await? == false)
            })
            .await?;
        }
        Ok(())
    });
}

// Endpoints that have been warm for long count as cold anew at an instance that asks a peer.
#[test]
fn peer_says_how_cold_endpoints_are_now() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        let mut content = Entry::new("desk", endpoint.address).content();
        content["cold_remaining_ms"] = serde_json::json!(400);
        site.store.put("servers", "e-1", content);
        site.until_metric("endpoints", 1).await?;
        until("warm", async || {
            let known = known_endpoints(&site.instance).await?;
            Ok(known["all"][0]["cold_left"] == 0)
        })
        .await
    });
}

// An endpoint that a peer does not know any more gets work for two seconds more, as if its entry had lapsed.
#[test]
fn peer_says_whether_endpoints_may_have_lapsed() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let instance = instance("i-1", &store_listener, "").await?;
        let lapses = async || {
            let known = known_endpoints(&instance).await?;
            Ok::<_, anyhow::Error>(known["lapses"].clone())
        };
        until("in steady state", async || Ok(lapses().await? == false)).await?;
        store_listener.set(Fault::Refuse);
        until("the store is away", async || Ok(lapses().await? == true)).await
    });
}
