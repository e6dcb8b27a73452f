//! Endpoints that say in their responses that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, Fault, RawClient, RoutingPlan, find_leaving_violation};
use tokio::time::{Instant, sleep};

use super::ask;
use super::members::{start_pair, until_all_have};
use super::site::Site;
use crate::support::run;

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
        let endpoint = pair.add_endpoint("desk", Behaviour::Answer).await?;
        pair.first_listener.set(Fault::Refuse);
        pair.other_listener.set(Fault::Refuse);
        endpoint.notices().set_leaving(true);
        let (first, other) = (pair.first.addresses().client, pair.other.addresses().client);
        assert_eq!(RawClient::ask(first, "once", "a1", "").await?.status, 200);
        until_all_have([&pair.other], "endpoints", 0).await?;
        assert_eq!(RawClient::ask(other, "once", "a2", "").await?.status, 503);
        assert_eq!(endpoint.seen().len(), 1);
        Ok(())
    });
}
