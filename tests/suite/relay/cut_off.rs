//! Instances that are cut off from endpoints while clients, peers and the store reach them.

use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_fakes::relay::{Link, Relay};
use nutmeggrade_fakes::site::{
    Answer, Behaviour, Endpoint, Entry, Generations, RawClient, RoutingPlan, Store,
};
use nutmeggrade_relay::Instance;
use tokio::time::sleep;

use super::members::{start_member, until_all_have, until_listed};
use super::site::{Site, metric, start_instance};
use super::{PROMPT_HEADERS, ask};
use crate::support::run;

/// Time after the beginning of a cut from which on clients have to be served as elsewhere.
const CONTACT_TIME: Duration = Duration::from_secs(3);

const SERVICES: [&str; 2] = ["desk", "writers"];

/// Three instances and six endpoints. The first instance reaches each endpoint through a proxy, the
/// others directly.
struct CutSite {
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    links: Vec<Relay>,
}

impl CutSite {
    async fn start() -> anyhow::Result<Self> {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let (first_listener, direct) = (store.open_listener().await?, store.open_listener().await?);
        let (mut endpoints, mut links) = (Vec::new(), Vec::new());
        for service in SERVICES {
            for number in 0..3 {
                let id = format!("{service}-{number}");
                let behaviour = if service == "desk" {
                    Behaviour::Answer
                } else {
                    Behaviour::Stream { events: 5, pause: Duration::from_millis(10) }
                };
                let endpoint = Endpoint::start(&id, behaviour, &Generations::default()).await?;
                let link = Relay::start(endpoint.address)?;
                first_listener.list_as(endpoint.address, link.address);
                store.put("servers", &id, Entry::new(service, endpoint.address).content());
                endpoints.push(endpoint);
                links.push(link);
            }
        }
        let first = start_instance("i-1", &first_listener, "").await?;
        let mut instances = vec![first];
        for number in 2..=3 {
            instances.push(start_member(&instances[0], number, &direct).await?);
        }
        for instance in &instances {
            until_listed(instance, 3).await?;
        }
        until_all_have(&instances, "endpoints", 6).await?;
        Ok(Self { instances, endpoints, links })
    }

    fn cut(&self, link: Link) {
        self.links.iter().for_each(|l| l.set(link));
    }

    /// Asks the first instance for a route, and returns the answer.
    async fn ask(&self, route: &str, id: &str) -> anyhow::Result<Answer> {
        RawClient::ask(self.instances[0].addresses().client, route, id, PROMPT_HEADERS).await
    }

    /// Asks the first instance for several requests at a time; returns how many were served whole.
    async fn count_served(&self, route: &str, prefix: &str, count: usize) -> usize {
        let ids: Vec<String> = (0..count).map(|n| format!("{prefix}{n}")).collect();
        let answers = join_all(ids.iter().map(|id| self.ask(route, id))).await;
        answers.into_iter().flatten().filter(|a| a.status == 200 && a.is_whole).count()
    }

    /// Returns how often the endpoints ran a request.
    fn runs(&self, id: &str) -> usize {
        self.endpoints.iter().map(|e| e.runs(id)).sum()
    }

    async fn metric(&self, instance: usize, name: &str) -> anyhow::Result<u64> {
        metric(self.instances[instance].addresses().metrics, name).await
    }
}

/// Cuts the first instance off from all endpoints, and checks that its clients are served as well
/// as elsewhere from [`CONTACT_TIME`] on, each request by a single run, and directly after the cut.
fn served_like_elsewhere(link: Link) {
    run(async {
        let site = CutSite::start().await?;
        site.cut(link);
        for route in ["once", "draft"] {
            site.count_served(route, &format!("early-{route}-"), 4).await;
        }
        sleep(CONTACT_TIME).await;
        for route in ["once", "read", "draft", "sort"] {
            let prefix = format!("cut-{route}-");
            assert_eq!(site.count_served(route, &prefix, 8).await, 8, "{route}");
            for number in 0..8 {
                assert_eq!(site.runs(&format!("{prefix}{number}")), 1, "{route}");
            }
        }
        for peer in [1, 2] {
            assert_eq!(site.metric(peer, "told_gone_total").await?, 0);
        }
        Ok(())
    });
}

// An instance that can't connect to any endpoint offers a request to one after the other over the
// same dead links until its time has passed, while its peers reach all of them.
cases! {served_like_elsewhere {
    refused: Link::Refused;
    unanswered: Link::Unanswered;
}}

// The time of a request passes while its connection is not answered, so that no byte was sent. If
// its client is told that it may have run, it must not come back.
#[test]
fn time_that_passes_while_connecting_is_not_run() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 600, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = Endpoint::start("e-1", Behaviour::Answer, &Generations::default()).await?;
        let link = Relay::start(endpoint.address)?;
        link.set(Link::Unanswered);
        site.store.put("servers", "e-1", Entry::new("desk", link.address).content());
        site.until_metric("endpoints", 1).await?;
        let answer = ask(&site, "once", "a1").await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        Ok(())
    });
}
