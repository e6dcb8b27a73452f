//! Endpoints that say in their responses that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Fault, Generations, RawClient, RoutingPlan, find_leaving_violation,
};
use tokio::time::{Instant, sleep};

use super::ask;
use super::fleet::start_pair;
use super::site::{Site, metric};
use crate::support::{run, until};

/// Time that is longer than the one after which new requests must go elsewhere.
const TRAFFIC: Duration = Duration::from_secs(4);

/// Sends requests for some time; returns when each was sent.
async fn send_requests(site: &Site) -> anyhow::Result<BTreeMap<String, Instant>> {
    let end = Instant::now() + TRAFFIC;
    let mut sent = BTreeMap::new();
    while Instant::now() < end {
        let id = format!("a{}", sent.len());
        sent.insert(id.clone(), Instant::now());
        ask(site, "once", &id).await?;
        sleep(Duration::from_millis(20)).await;
    }
    Ok(sent)
}

// Guards against requests to an endpoint that leaves while the store can't be reached: its entry
// still says that it stays.
#[test]
fn statement_counts_while_the_store_is_unavailable() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let leaving = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Answer).await?;
        site.store_listener.set(Fault::Refuse);
        leaving.notices().set_leaving(true);
        let sent = send_requests(&site).await?;
        let sender_of = |id: &str| sent.get(id).map(|at| (0, *at));
        assert_eq!(find_leaving_violation(&leaving, sender_of, |_, _, _| false), None);
        assert!(!leaving.seen().is_empty());
        Ok(())
    });
}

// Guards against requests from an instance that has no response of the endpoint itself, but a peer
// that has: the store is away for both.
#[test]
fn statement_is_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        pair.store.put("servers", "e-1", Entry::new("desk", endpoint.address).content());
        let (first, other) = (pair.first.addresses(), pair.other.addresses());
        for metrics in [first.metrics, other.metrics] {
            let listed = async || Ok(metric(metrics, "endpoints").await? == 1);
            until("the endpoint is listed", listed).await?;
        }
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        endpoint.notices().set_leaving(true);
        assert_eq!(RawClient::ask(first.client, "once", "a1", "").await?.status, 200);
        let left = async || Ok(metric(other.metrics, "endpoints").await? == 0);
        until("the other instance knows", left).await?;
        assert_eq!(RawClient::ask(other.client, "once", "a2", "").await?.status, 503);
        assert_eq!(endpoint.seen().len(), 1);
        Ok(())
    });
}
