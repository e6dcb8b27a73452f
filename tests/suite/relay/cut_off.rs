//! Instances that are cut off from endpoints while clients, peers and the store reach them.

use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_core::peer::{Contacts, FleetMessage, seal};
use nutmeggrade_core::prelude::{DomainId, Secret};
use nutmeggrade_fakes::relay::{Link, Relay};
use nutmeggrade_fakes::site::{
    Answer, Behaviour, Endpoint, Entry, Generations, RawClient, RoutingPlan, Store, request,
};
use nutmeggrade_relay::Instance;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};

use super::members::{until_all_have, until_listed};
use super::site::{Site, get_answer, metric, start_instance};
use super::{PROMPT_HEADERS, ask};
use crate::support::{run, until};

/// Time after the beginning of a cut from which on clients have to be served as elsewhere.
const CONTACT_TIME: Duration = Duration::from_secs(3);

const FORWARDS_ANSWERED: &str = "forwards_total{end=\"answered\"}";

const SERVICES: [&str; 2] = ["desk", "writers"];

/// Three instances and six endpoints. The last instances reach each endpoint through a proxy, the
/// others directly.
pub struct CutSite {
    instances: Vec<Instance>,
    pub endpoints: Vec<Endpoint>,
    links: Vec<Relay>,
    /// Runs all instances but the last; without it they are gone like killed processes.
    peers: Option<Runtime>,
}

impl Drop for CutSite {
    fn drop(&mut self) {
        self.kill_peers();
    }
}

impl CutSite {
    /// Starts the instances; the last `proxied` of them use the proxies.
    pub async fn start(proxied: usize) -> anyhow::Result<Self> {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let (direct, other) = (store.open_listener().await?, store.open_listener().await?);
        let (mut endpoints, mut links) = (Vec::new(), Vec::new());
        for service in SERVICES {
            for number in 0..3 {
                let id = format!("{service}-{number}");
                let behaviour = if service == "desk" {
                    Behaviour::Answer
                } else {
                    Behaviour::Stream { events: 100, pause: Duration::from_millis(10) }
                };
                let endpoint = Endpoint::start(&id, behaviour, &Generations::default()).await?;
                let link = Relay::start(endpoint.address)?;
                other.list_as(endpoint.address, link.address);
                store.put("servers", &id, Entry::new(service, endpoint.address).content());
                endpoints.push(endpoint);
                links.push(link);
            }
        }
        // An instance that knows others gets the endpoints from them, under the addresses that they
        // use, so that each lists them by itself first.
        let peers = Runtime::new()?;
        let mut instances = Vec::new();
        for (number, name) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
            let listener = if number + proxied < 3 { &direct } else { &other }.clone();
            let start = async move { start_instance(name, &listener, "").await };
            let task = if number < 2 { peers.spawn(start) } else { tokio::spawn(start) };
            instances.push(task.await??);
        }
        until_all_have(&instances, "endpoints", 6).await?;
        introduce(&instances).await?;
        for instance in &instances {
            until_listed(instance, 3).await?;
        }
        Ok(Self { instances, endpoints, links, peers: Some(peers) })
    }

    /// Returns an instance that reaches the endpoints through the proxies.
    pub fn proxied(&self) -> &Instance {
        &self.instances[self.instances.len() - 1]
    }

    /// Cuts the links and waits until the instance knows.
    pub async fn cut_and_wait(&self, link: Link) -> anyhow::Result<()> {
        self.cut(link);
        for route in ["once", "draft"] {
            self.count_served(route, &format!("early-{route}-"), 1).await;
        }
        until_all_have([self.proxied()], "cut_off_services", 2).await
    }

    /// Sends a request to the instance and waits until an endpoint runs it.
    async fn begin(&self, route: &str, id: &str) -> anyhow::Result<RawClient> {
        let mut client = RawClient::connect(self.proxied().addresses().client).await?;
        client.send(&request(route, id, "key-1", PROMPT_HEADERS)).await?;
        until("an endpoint runs it", async || Ok(self.runs(id) == 1)).await?;
        Ok(client)
    }

    fn open_connections(&self) -> usize {
        self.endpoints.iter().map(Endpoint::open).sum()
    }

    fn kill_peers(&mut self) {
        if let Some(peers) = self.peers.take() {
            peers.shutdown_background();
        }
    }

    fn cut(&self, link: Link) {
        self.links.iter().for_each(|l| l.set(link));
    }

    /// Asks the instance behind the proxies for a route, and returns the answer.
    async fn ask(&self, route: &str, id: &str) -> anyhow::Result<Answer> {
        RawClient::ask(self.proxied().addresses().client, route, id, PROMPT_HEADERS).await
    }

    /// Asks it for several requests at a time; returns how many were served whole.
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

/// Sends each instance the heartbeat addresses of all.
async fn introduce(instances: &[Instance]) -> anyhow::Result<()> {
    let addresses = instances.iter().map(|i| i.addresses().beacon).collect();
    let contacts = Contacts::from([(DomainId::new("veluwe")?, addresses)]);
    let key = Secret::new("nutmeggrade fleet heartbeat 1").key("heartbeats");
    let frame = seal(&FleetMessage::Met(contacts), &key)?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    for instance in instances {
        socket.send_to(&frame, instance.addresses().beacon).await?;
    }
    Ok(())
}

/// Cuts an instance off from all endpoints, and checks that its clients are served as well as
/// elsewhere from [`CONTACT_TIME`] on, each request by a single run.
fn served_like_elsewhere(link: Link) {
    run(async {
        let site = CutSite::start(1).await?;
        let mut running = Vec::new();
        for number in 0..6 {
            running.push(site.begin("draft", &format!("running-{number}")).await?);
        }
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
        for peer in [0, 1] {
            assert_eq!(site.metric(peer, "told_gone_total").await?, 0);
        }
        site.cut(Link::Open);
        until_all_have([site.proxied()], "cut_off_services", 0).await?;
        let before = site.metric(2, FORWARDS_ANSWERED).await?;
        assert_eq!(site.count_served("once", "after-", 8).await, 8);
        assert_eq!(site.metric(2, FORWARDS_ANSWERED).await?, before);
        Ok(())
    });
}

// An instance that can't connect to any endpoint offers a request to one after the other over the
// same dead links until its time has passed, while its peers reach all of them.
cases! {served_like_elsewhere {
    refused: Link::Refused;
    reset: Link::Unreachable;
    unanswered: Link::Unanswered;
}}

// A client leaves while a peer serves its request. The endpoint would go on working for nobody.
#[test]
fn client_that_left_cancels_at_the_peer() {
    run(async {
        let site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        site.endpoints.iter().for_each(|e| e.set(Behaviour::Hang));
        for route in ["once", "draft"] {
            let client = site.begin(route, &format!("left-{route}")).await?;
            drop(client);
            until("the endpoints are left alone", async || Ok(site.open_connections() == 0))
                .await?;
        }
        Ok(())
    });
}

// The peers die while they serve requests of another instance's clients. A permit must not run
// again, and a stream that broke off must not look complete.
#[test]
fn dead_peer_ends_what_it_served() {
    run(async {
        let mut site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        let mut stream = site.begin("draft", "stream").await?;
        site.endpoints[..3].iter().for_each(|e| e.set(Behaviour::Hang));
        let mut permit = site.begin("once", "permit").await?;
        site.kill_peers();
        assert_eq!(permit.answer().await?.status, 502);
        assert!(!stream.answer().await.is_ok_and(|a| a.is_whole));
        assert_eq!((site.runs("permit"), site.runs("stream")), (1, 1));
        Ok(())
    });
}

// No instance reaches an endpoint. Requests must not go round among the instances, and are refused
// soon, as not run.
#[test]
fn request_is_refused_if_all_are_cut_off() {
    run(async {
        let site = CutSite::start(3).await?;
        site.cut(Link::Unanswered);
        site.count_served("once", "early-", 1).await;
        let started_at = Instant::now();
        let answer = site.ask("once", "late").await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        assert!(started_at.elapsed() < CONTACT_TIME);
        assert_eq!(site.runs("late"), 0);
        Ok(())
    });
}

/// Breaks the connection of a request that runs, in a cut in which peers reject it or are gone, and
/// checks that its client isn't told that it has not run.
fn request_that_ran_is_not_refused_as_not_run(has_peers: bool) {
    run(async {
        let mut site = CutSite::start(1).await?;
        site.endpoints.iter().for_each(|e| e.set(Behaviour::Hang));
        let mut client = site.begin("read", "a1").await?;
        site.endpoints.iter().for_each(|e| e.set(Behaviour::Shed));
        if !has_peers {
            site.kill_peers();
        }
        site.cut(Link::Unreachable);
        assert_eq!(client.answer().await?.status, 502);
        Ok(())
    });
}

// A repeatable request ran before the cut. Its second send finds no endpoint that takes it.
cases! {request_that_ran_is_not_refused_as_not_run {
    rejected_by_the_peers_endpoints: true;
    without_peers: false;
}}

// More requests are forwarded than the peers take. If a peer closed such a connection, nobody could
// tell whether the request ran.
#[test]
fn requests_beyond_what_peers_take_are_refused_as_not_run() {
    run(async {
        let site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        site.endpoints.iter().for_each(|e| e.set(Behaviour::Slow(Duration::from_millis(300))));
        let ids: Vec<String> = (0..240).map(|n| format!("many-{n}")).collect();
        for answer in join_all(ids.iter().map(|id| site.ask("once", id))).await {
            let status = answer?.status;
            assert!([200, 503].contains(&status), "{status}");
        }
        Ok(())
    });
}

// A peer that serves other instances' requests is stopped as planned. It completes them.
#[test]
fn planned_stop_of_a_peer_completes_what_it_serves() {
    run(async {
        let mut site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        let mut stream = site.begin("draft", "stream").await?;
        let runtime = site.peers.as_ref().expect("the peers run").handle().clone();
        let stops: Vec<_> = site.instances.drain(..2).map(|i| runtime.spawn(i.stop())).collect();
        join_all(stops).await;
        let answer = stream.answer().await?;
        assert!(answer.status == 200 && answer.is_whole);
        Ok(())
    });
}

/// Stops the instance that is cut off, or the peers that could serve its clients, and checks that requests
/// which may outlast the stopping instances are refused as not run, and run nowhere.
fn stop_takes_no_forwarded_request(is_peer_stopped: bool) {
    run(async {
        let mut site = CutSite::start(1).await?;
        site.cut_and_wait(Link::Unreachable).await?;
        let address = site.proxied().addresses().client;
        let stopped: Vec<Instance> = if is_peer_stopped {
            site.instances.drain(..2).collect()
        } else {
            site.instances.drain(2..).collect()
        };
        let readiness: Vec<_> = stopped.iter().map(|i| i.addresses().ready).collect();
        let runtime = site.peers.as_ref().expect("the peers run").handle().clone();
        let stops: Vec<_> = stopped.into_iter().map(|i| runtime.spawn(i.stop())).collect();
        for ready in readiness {
            until("the instance is not ready", async || {
                Ok(get_answer(ready, "/nutmeggrade/readiness").await?.0 == 503)
            })
            .await?;
        }
        for route in ["once", "read", "draft", "sort"] {
            let answer = RawClient::ask(address, route, route, PROMPT_HEADERS).await?;
            assert_eq!(answer.status, 503, "{route}");
            assert!(answer.message.header("retry-after").is_some());
            assert_eq!(site.runs(route), 0, "{route}");
        }
        join_all(stops).await;
        Ok(())
    });
}

// Guards against requests that are forwarded late in a planned stop and cut at its end.
cases! {stop_takes_no_forwarded_request {
    of_the_instance_that_is_cut_off: false;
    of_the_peers_that_serve_for_it: true;
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
