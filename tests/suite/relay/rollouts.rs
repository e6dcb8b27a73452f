//! Services that move to another version.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, Endpoint, Fault, RawClient, RoutingPlan};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::site::{Site, generation, rolling};
use super::streams::events;
use super::{PROMPT, ask};
use crate::support::{run, until};

const PAUSE: Duration = Duration::from_millis(15);

fn order(site: &Site, service: &str, seconds: u64) {
    let content = json!({ "service": service, "to": "v2", "duration_s": seconds });
    site.store.put("rollouts", service, content);
}

fn state(site: &Site, service: &str) -> String {
    let status = site.store.status("rollouts", service);
    let to = status["to"].as_str().unwrap_or_default();
    format!("{} {to}", status["state"].as_str().unwrap_or_default())
}

async fn until_state(site: &Site, service: &str, expected: &str) -> anyhow::Result<()> {
    until(expected, async || Ok(state(site, service) == expected)).await
}

/// Clients that ask again and again until they are stopped.
struct Load {
    is_over: Arc<AtomicBool>,
    failed: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Load {
    /// Asks for a route some sixty times a second.
    fn start(site: &Site, route: &'static str) -> Self {
        let (is_over, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
        let (client, over, failures) = (site.client(), Arc::clone(&is_over), Arc::clone(&failed));
        let task = tokio::spawn(async move {
            for number in 0.. {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let failures = Arc::clone(&failures);
                tokio::spawn(async move {
                    let id = format!("{route}{number}");
                    let answer = RawClient::ask(client, route, &id, PROMPT).await;
                    let is_good = answer.is_ok_and(|a| a.status == 200 && a.is_whole);
                    failures.fetch_add(u32::from(!is_good), Ordering::Relaxed);
                });
                sleep(PAUSE).await;
            }
        });
        Self { is_over, failed, task }
    }

    /// Stops asking; returns how many requests were not answered well.
    async fn stop(self) -> anyhow::Result<u32> {
        self.is_over.store(true, Ordering::Relaxed);
        self.task.await?;
        sleep(Duration::from_millis(300)).await;
        Ok(self.failed.load(Ordering::Relaxed))
    }
}

/// Starts an instance before a service with an endpoint of each version.
async fn versions() -> anyhow::Result<(Site, Endpoint, Endpoint)> {
    let site = Site::start_rolling(&RoutingPlan::default()).await?;
    let old = site.endpoint("desk", "e-1", Behaviour::Answer).await?;
    order(&site, "desk", 9);
    until_state(&site, "desk", "in_progress v2").await?;
    let new = site.versioned("desk", "e-2", "v2", Behaviour::Answer).await?;
    Ok((site, old, new))
}

// Endpoints of a new version register, and nobody has seen yet what they do. Used like the others they would
// get half of the requests at once.
#[test]
fn new_version_is_held_first() {
    run(async {
        let (site, old, new) = versions().await?;
        for number in 0..20 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        assert_eq!((old.seen().len(), new.seen().len()), (20, 0));
        Ok(())
    });
}

// A good version gets a part, then everything, and the old endpoints stop without draining the moment the
// state is written: no request may be there then.
#[test]
fn good_version_takes_over() {
    run(async {
        let (site, old, new) = versions().await?;
        let load = Load::start(&site, "once");
        until("a part goes to the new version", async || Ok(new.seen().len() > 3)).await?;
        until_state(&site, "desk", "completed v2").await?;
        assert_eq!(old.open(), 0);
        old.kill();
        site.store.remove("servers", "e-1");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(load.stop().await?, 0);
        Ok(())
    });
}

// A version fails nearly all that it gets. It is taken out after a few answers, long before its time is over,
// and gets nothing after that.
#[test]
fn bad_version_is_reverted() {
    run(async {
        let (site, _, new) = versions().await?;
        new.set(Behaviour::Fail);
        let load = Load::start(&site, "once");
        until_state(&site, "desk", "reverted v2").await?;
        let exposed = new.seen().len();
        assert!(exposed < 40, "{exposed}");
        sleep(Duration::from_millis(500)).await;
        assert_eq!(new.seen().len(), exposed);
        assert!(usize::try_from(load.stop().await?)? <= exposed);
        Ok(())
    });
}

// The store answers nobody just when a bad version has to go. The instances take it out all the same, and
// write so once the store is back.
#[test]
fn bad_version_gets_nothing_while_the_store_is_away() {
    run(async {
        let (site, _, new) = versions().await?;
        let load = Load::start(&site, "once");
        until("a part goes to the new version", async || Ok(new.seen().len() > 2)).await?;
        site.store_listener.set(Fault::Refuse);
        new.set(Behaviour::Fail);
        let mut before = usize::MAX;
        until("it gets no more", async || {
            sleep(Duration::from_millis(1_500)).await;
            let seen = new.seen().len();
            Ok(std::mem::replace(&mut before, seen) == seen)
        })
        .await?;
        assert_eq!(state(&site, "desk"), "in_progress v2");
        site.store_listener.set(Fault::None);
        until_state(&site, "desk", "reverted v2").await?;
        load.stop().await?;
        Ok(())
    });
}

// All instances are killed while a bad version is watched. Those that start find the order in the store and
// watch it anew; the new version is not used like any other meanwhile.
#[test]
fn order_outlives_all_instances() {
    run(async {
        let (mut site, _, new) = versions().await?;
        let load = Load::start(&site, "once");
        until("a part goes to the new version", async || Ok(new.seen().len() > 2)).await?;
        load.stop().await?;
        new.set(Behaviour::Fail);
        let exposed = new.seen().len();
        site.instance = rolling("i-1", &site.store_listener, 2).await?;
        site.until_metric("config_version", 1).await?;
        site.until_metric("endpoints", 1).await?;
        for number in 0..10 {
            assert_eq!(ask(&site, "once", &format!("b{number}")).await?.status, 200);
        }
        assert_eq!(new.seen().len(), exposed);
        let load = Load::start(&site, "once");
        until_state(&site, "desk", "reverted v2").await?;
        load.stop().await?;
        Ok(())
    });
}

// A draft is under way at an engine of the old version when the new one is found to be good. The engine
// would stop in the middle of it, so it moves first.
#[test]
fn generation_moves_to_the_new_version() {
    run(async {
        let site = Site::start_rolling(&RoutingPlan::default()).await?;
        let long = Behaviour::Stream { events: 900, pause: PAUSE };
        let short = Behaviour::Stream { events: 12, pause: Duration::from_millis(1) };
        let old = site.endpoint("writers", "e-1", long).await?;
        order(&site, "writers", 7);
        until_state(&site, "writers", "in_progress v2").await?;
        let mut client = generation(site.client(), "draft", "a1", &old).await?;
        old.set(short);
        let new = site.versioned("writers", "e-2", "v2", short).await?;
        let load = Load::start(&site, "sort");
        until("the generation moves", async || {
            let mut seen = new.seen().into_iter();
            // What goes on there is as long as it was.
            new.set(if site.generations.max_concurrent_copies() > 0 { long } else { short });
            Ok(seen.any(|s| s.id() == "a1"))
        })
        .await?;
        new.set(short);
        until_state(&site, "writers", "completed v2").await?;
        assert_eq!(old.open(), 0);
        assert_eq!(load.stop().await?, 0);
        let answer = client.answer().await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body), (1..=900).collect::<Vec<u64>>());
        Ok(())
    });
}

/// Checks that an order changes nothing: both endpoints serve.
fn changes_nothing(content: Value) {
    run(async {
        let site = Site::start_rolling(&RoutingPlan::default()).await?;
        site.store.put("rollouts", "desk", content);
        let first = site.endpoint("desk", "e-1", Behaviour::Answer).await?;
        let other = site.versioned("desk", "e-2", "v2", Behaviour::Answer).await?;
        site.until_metric("endpoints", 2).await?;
        for number in 0..40 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        assert!(!first.seen().is_empty() && !other.seen().is_empty());
        Ok(())
    });
}

// An order can't be read, or is for another service.
cases! {changes_nothing {
    unreadable: json!({ "to": 7 });
    of_another_service: json!({ "service": "writers", "to": "v2", "duration_s": 9 });
}}

// The ordered version is the one that serves. The order is fulfilled, and nothing is held back.
#[test]
fn version_that_serves_already_goes_on() {
    run(async {
        let site = Site::start_rolling(&RoutingPlan::default()).await?;
        order(&site, "desk", 9);
        site.versioned("desk", "e-2", "v2", Behaviour::Answer).await?;
        site.until_metric("endpoints", 1).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        until_state(&site, "desk", "completed v2").await?;
        assert_eq!(ask(&site, "once", "a2").await?.status, 200);
        Ok(())
    });
}

// The operator takes an order back. The version that nobody decided on gets nothing.
#[test]
fn removed_order_leaves_the_old_version() {
    run(async {
        let (site, _, new) = versions().await?;
        site.store.remove("rollouts", "desk");
        sleep(Duration::from_millis(300)).await;
        for number in 0..20 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        assert!(new.seen().is_empty());
        Ok(())
    });
}
