//! Calls to the store, and objects that peers exchange.

use nutmeggrade_core::peer::{EndpointGroups, EndpointsReply};
use nutmeggrade_fakes::site::{Behaviour, Endpoint, Entry, Fault, Generations, RoutingPlan, Store};
use nutmeggrade_relay::Instance;

use super::members::{Pair, start_pair};
use super::site::{Site, get_bytes, metric, start_instance};
use crate::support::{run, until};

/// Gets all endpoints from an instance, as its peers do.
/// Returns the endpoints that an instance tells its peers, and whether missing ones may have lapsed.
async fn get_endpoints(instance: &Instance) -> anyhow::Result<(EndpointGroups, bool)> {
    let body = get_bytes(instance.addresses().control, "/known/endpoints?since=0").await?;
    match EndpointsReply::decode(&body)? {
        EndpointsReply::All { endpoints, lapses, .. } => Ok((endpoints, lapses)),
        EndpointsReply::Changes(changes) => anyhow::bail!("changes alone: {changes:?}"),
    }
}

// Without a count by reason, operators see how many calls the store gets and not why.
#[test]
fn store_calls_are_counted_by_reason() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let instance = start_instance("i-1", &store.open_listener().await?, "").await?;
        let metrics = instance.addresses().metrics;
        let calls = async |kind: &str, reason: &str| {
            let labels = format!("kind=\"{kind}\",reason=\"{reason}\"");
            metric(metrics, &format!("store_call_reasons_total{{{labels}}}")).await
        };
        for kind in ["config", "endpoints", "evacuations"] {
            until("the first listing is counted", async || Ok(calls(kind, "first").await? == 1))
                .await?;
        }
        store.put("config", "main", RoutingPlan { version: 2, ..Default::default() }.content());
        until("a watch is counted", async || Ok(calls("config", "watch").await? > 0)).await
    });
}

// An unavailable store would get three times as many calls as needed if the instance kept asking
// for all kinds of objects.
#[test]
fn store_that_is_away_is_asked_for_one_kind() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let instance = start_instance("i-1", &store_listener, "").await?;
        let metrics = instance.addresses().metrics;
        until("a configuration is in force", async || {
            Ok(metric(metrics, "config_version").await? > 0)
        })
        .await?;
        store_listener.set(Fault::Refuse);
        let failed = async |kind: &str| {
            metric(metrics, &format!("store_calls_total{{end=\"failed\",kind=\"{kind}\"}}")).await
        };
        until("ten calls for endpoints fail", async || Ok(failed("endpoints").await? >= 10))
            .await?;
        assert!(failed("config").await? + failed("evacuations").await? <= 5);
        let newest = RoutingPlan { version: 4, ..RoutingPlan::default() };
        store.put("config", "main", newest.content());
        store_listener.set(Fault::None);
        until("the configuration is read again", async || {
            Ok(metric(metrics, "config_version").await? == 4)
        })
        .await
    });
}

// Two readers extend the end of an outage with each change, so that endpoints that are gone get
// requests for two more seconds.
#[test]
fn outage_is_over_while_endpoints_change() {
    run(async {
        let Pair { store, first, other, other_listener, .. } = start_pair().await?;
        let may_lapse = async |instance: &Instance| {
            let (_, lapses) = get_endpoints(instance).await?;
            Ok::<_, anyhow::Error>(lapses)
        };
        until("the store is available", async || Ok(!may_lapse(&other).await?)).await?;
        other_listener.set(Fault::Refuse);
        until("the outage is noticed", async || may_lapse(&other).await).await?;
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
                Ok(!may_lapse(instance).await?)
            })
            .await?;
        }
        Ok(())
    });
}

// An instance that gets its endpoints from a peer counts endpoints as cold again that have been
// warm for long.
#[test]
fn peer_says_how_cold_endpoints_are_now() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        let mut content = Entry::new("desk", endpoint.address).content();
        content["cold_remaining_ms"] = serde_json::json!(400);
        site.store.put("servers", "e-1", content);
        site.until_metric("endpoints", 1).await?;
        until("the endpoint is warm", async || {
            let (endpoints, _) = get_endpoints(&site.instance).await?;
            Ok(endpoints.endpoints().next().is_some_and(|e| e.cold_left.is_zero()))
        })
        .await
    });
}

// An endpoint that a peer no longer lists gets requests for two more seconds, as if its entry had
// lapsed.
#[test]
fn peer_says_whether_endpoints_may_have_lapsed() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let store_listener = store.open_listener().await?;
        let instance = start_instance("i-1", &store_listener, "").await?;
        let may_lapse = async || {
            let (_, lapses) = get_endpoints(&instance).await?;
            Ok::<_, anyhow::Error>(lapses)
        };
        until("the store is available", async || Ok(!may_lapse().await?)).await?;
        store_listener.set(Fault::Refuse);
        until("the outage is noticed", async || may_lapse().await).await
    });
}
