//! Endpoints that leave, vanish, lie or are cold.

use nutmeggrade_fakes::site::{Behaviour, Entry, Fault, RoutingPlan, Store};
use serde_json::json;

use super::ask;
use super::site::{Site, instance, metric};
use crate::support::{run, until};

// An endpoint says that it leaves. From the moment at which the instance knows, nothing new goes to
// it, however long it stays.
#[test]
fn leaving_endpoint_gets_nothing_new() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let leaving = site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        site.endpoint("desk", "e-2", Behaviour::Answer).await?;
        let entry = Entry::new("desk", leaving.address).with_leaving(true);
        site.store.put("servers", "e-1", entry.content());
        site.until_metric("endpoints", 1).await?;
        let before = leaving.seen().len();
        for number in 0..20 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        assert_eq!(leaving.seen().len(), before);
        Ok(())
    });
}

// A failure domain is taken out and brought back.
#[test]
fn domain_that_is_out_gets_nothing() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        site.store.put("evacuations", "veluwe", json!({}));
        site.until_metric("endpoints", 0).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 503);
        assert_eq!(endpoint.seen().len(), 0);
        site.store.remove("evacuations", "veluwe");
        site.until_metric("endpoints", 1).await?;
        assert_eq!(ask(&site, "once", "a2").await?.status, 200);
        Ok(())
    });
}

// Another program writes into the endpoints' place. Its entries name nothing to use and disturb no
// other.
#[test]
fn foreign_entries_are_passed_over() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        for (number, content) in [
            json!("text"),
            json!({ "service": "desk" }),
            json!({ "service": "desk", "address": "nowhere", "zone": "veluwe", "state": "ready" }),
            json!({ "service": "desk", "address": "127.0.0.1:9", "zone": "veluwe", "state": "odd" }),
            json!({ "service": 4, "address": "127.0.0.1:9", "zone": "veluwe", "state": "ready" }),
            json!(null),
        ]
        .into_iter()
        .enumerate()
        {
            site.store.put("servers", &format!("foreign-{number}"), content);
        }
        site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        site.until_metric("endpoints", 1).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        Ok(())
    });
}

// Entries lapse while the store is away and are written again when it is back. Endpoints that live
// must not lose their work for that; one that does not come back is gone.
#[test]
fn lapsed_entries_get_time_to_come_back() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let stays = site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        site.endpoint("desk", "e-2", Behaviour::Answer).await?;
        site.store_listener.set(Fault::Refuse);
        site.store.remove("servers", "e-1");
        site.store.remove("servers", "e-2");
        let away = "store_calls_total{end=\"failed\",kind=\"endpoints\"}";
        until("the store is missed", async || {
            Ok(metric(site.instance.addresses().metrics, away).await? > 0)
        })
        .await?;
        site.store_listener.set(Fault::None);
        site.store.put("servers", "e-1", Entry::new("desk", stays.address).content());
        site.until_metric("endpoints", 1).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        Ok(())
    });
}

// Another endpoint has got the address of one that is gone. It says so, and the request goes on to
// one of its own service. While the store is away entries stay that are long stale; asked again and
// again they use up what may be sent a second time.
#[test]
fn reused_address_runs_nothing() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let other = site.endpoint("desk", "e-other", Behaviour::Answer).await?;
        site.store.put("servers", "e-old", Entry::new("desk", other.address).content());
        site.until_metric("endpoints", 2).await?;
        for number in 0..12 {
            let id = format!("a{number}");
            assert_eq!(ask(&site, "once", &id).await?.status, 200);
            assert_eq!(other.runs(&id), 1);
        }
        // The endpoint that was meant is gone, which one answer was enough to learn.
        let misdirected = other.seen().iter().filter(|s| !s.ran).count();
        assert!(misdirected <= 1, "{misdirected}");
        Ok(())
    });
}

// An endpoint has just started and bears ten requests a second. Thirty come in the same moment, and
// those that would come too late are refused.
#[test]
fn cold_endpoint_is_not_flooded() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 400, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let pause = std::time::Duration::from_millis(1);
        let behaviour = Behaviour::Stream { events: 1, pause };
        let endpoint = site.endpoint("writers", "e-1", behaviour).await?;
        let cold = Entry { cold_ms: 60_000, ..Entry::new("writers", endpoint.address) };
        site.store.put("servers", "e-1", cold.content());
        until("the endpoint counts as cold", async || {
            let asks = (0..30).map(|n| {
                let id = format!("w{n}");
                let site = &site;
                async move { ask(site, "sort", &id).await }
            });
            let before = endpoint.seen().len();
            let answers = futures::future::join_all(asks).await;
            let served = endpoint.seen().len() - before;
            let refused =
                answers.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 503)).count();
            Ok(served <= 10 && refused >= 20)
        })
        .await
    });
}

// A deployment has some thousands of endpoints, and the store lists them in many pages. An instance that
// gave up after some of them would never become ready.
#[test]
fn endpoints_of_a_hundred_pages_are_listed() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        for n in 0..300 {
            let address = format!("127.0.0.1:{}", 20_000 + n).parse()?;
            store.put("servers", &format!("e-{n:03}"), Entry::new("desk", address).content());
        }
        let instance = instance("i-1", &store.open_listener().await?, "").await?;
        let metrics = instance.addresses().metrics;
        let listed = async || Ok(metric(metrics, "endpoints").await? == 300);
        until("all endpoints are known", listed).await
    });
}

/// Starts an instance before a store whose further pages are as they were before the last changes: one
/// endpoint of ten said that it leaves, one is gone and one has come. Waits until it knows all that.
fn listed_though_it_lags(is_history_gone: bool) {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let entry = |n: u16| {
            let address = format!("127.0.0.1:{}", 20_000 + n).parse().expect("an address");
            Entry::new("desk", address)
        };
        for n in 0..10 {
            store.put("servers", &format!("e-{n:02}"), entry(n).content());
        }
        store.freeze_stale_listings();
        store.put("servers", "e-08", entry(8).with_leaving(true).content());
        store.remove("servers", "e-09");
        store.put("servers", "e-10", entry(10).content());
        if is_history_gone {
            store.drop_history();
        }
        let instance = instance("i-1", &store.open_listener().await?, "").await?;
        let metrics = instance.addresses().metrics;
        until("listed", async || Ok(metric(metrics, "endpoints").await? > 0)).await?;
        assert_eq!(metric(metrics, "endpoints").await?, 9);
        Ok(())
    });
}

// An instance starts, and the store's further pages lag. What has changed since then is known as soon as
// anything is: nothing goes to an endpoint that left before the start.
cases! {listed_though_it_lags {
    with_history: false;
    history_gone: true;
}}
