//! A request that crashes each endpoint that runs it.

use std::net::SocketAddr;

use nutmeggrade_fakes::site::{Behaviour, Entry, RawClient, RoutingPlan};

use super::ask;
use super::members::{start_member, start_pair, until_all_have};
use super::site::Site;
use crate::support::{run, until};

// A client repeats a request that crashes each endpoint that begins to run it. After three
// endpoints the request is held by the whole service, and the other endpoints survive.
#[test]
fn crashing_request_stops_after_three_endpoints() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let mut endpoints = Vec::new();
        for number in 0..8 {
            let name = format!("e-{number}");
            endpoints.push(site.add_endpoint("desk", &name, Behaviour::Crash).await?);
        }
        let mut sent = 0;
        until("the request is held", async || {
            sent += 1;
            let answer = ask(&site, "once", &format!("a{sent}")).await?;
            let body = String::from_utf8_lossy(&answer.message.body).into_owned();
            Ok(answer.status == 503 && body.contains("crash_held"))
        })
        .await?;
        let crashed = endpoints.iter().filter(|e| e.is_dead()).count();
        assert!((3..=4).contains(&crashed), "{crashed}");
        assert_eq!(ask(&site, "once", "later").await?.status, 503);
        assert_eq!(endpoints.iter().filter(|e| e.is_dead()).count(), crashed);
        Ok(())
    });
}

fn desk_entry(address: SocketAddr) -> Entry {
    Entry::new("desk", address)
}

/// Rounds in which all endpoints of the service crash and are replaced.
const ROUNDS: usize = 4;
/// Requests of a round, more than it takes to crash its endpoints.
const ROUND_REQUESTS: usize = 5;

/// Checks how many endpoints a request crashes if it crashes whole services, which are replaced, and
/// comes again at two instances in turn.
fn crashes_of_replaced_services(route: &str, round_endpoints: usize) {
    run(async {
        let pair = start_pair().await?;
        let instances = [&pair.first, &pair.other];
        let mut crashed = 0;
        let mut sent = 0;
        let mut last_body = String::new();
        for round in 0..ROUNDS {
            let mut endpoints = Vec::new();
            for number in 0..round_endpoints {
                let id = format!("e-{round}-{number}");
                endpoints.push(pair.start_endpoint(&id, Behaviour::Crash, desk_entry).await?);
            }
            until_all_have(instances, "endpoints", round_endpoints as u64).await?;
            for _ in 0..ROUND_REQUESTS {
                sent += 1;
                let client = instances[sent % 2].addresses().client;
                let answer = RawClient::ask(client, route, &format!("a{sent}"), "").await?;
                assert_ne!(answer.status, 200);
                last_body = String::from_utf8_lossy(&answer.message.body).into_owned();
            }
            crashed += endpoints.iter().filter(|e| e.is_dead()).count();
            for endpoint in &endpoints {
                pair.store.remove("servers", endpoint.id());
            }
            until_all_have(instances, "endpoints", 0).await?;
        }
        assert!(crashed <= 3, "{crashed} endpoints crashed");
        assert!(last_body.contains("crash_held"), "{last_body}");
        Ok(())
    });
}

// Guards against crashes that don't count because every endpoint of the service is down, so that the
// instance takes itself for cut off.
cases! {crashes_of_replaced_services {
    three_endpoints: "once", 3;
    three_endpoints_and_retries: "read", 3;
    two_endpoints: "once", 2;
    only_endpoint: "once", 1;
}}

/// Checks that losses count once the entries of their endpoints are gone, although the endpoints still
/// accepted connections when they were examined.
fn losses_of_replaced_endpoints_count(behaviour: Behaviour) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        for number in 0..3 {
            let id = format!("e-{number}");
            let endpoint = site.add_endpoint("desk", &id, behaviour).await?;
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 502);
            assert_eq!(endpoint.runs(&format!("a{number}")), 1);
            site.store.remove("servers", &id);
            site.until_metric("endpoints", 0).await?;
        }
        let last = site.add_endpoint("desk", "e-last", Behaviour::Answer).await?;
        assert_eq!(ask(&site, "once", "held").await?.status, 503);
        assert_eq!(last.runs("held"), 0);
        Ok(())
    });
}

// Guards against crashes that don't count because the next process listens at the address already, or
// because the answer had begun.
cases! {losses_of_replaced_endpoints_count {
    before_the_answer: Behaviour::Close;
    within_the_answer: Behaviour::Truncate;
}}

// Guards against holding requests because of endpoints that break answers off and live on.
#[test]
fn losses_of_living_endpoints_hold_nothing() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let mut endpoints = Vec::new();
        for number in 0..4 {
            let id = format!("e-{number}");
            endpoints.push(site.add_endpoint("desk", &id, Behaviour::Close).await?);
        }
        for number in 0..8 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 502);
        }
        for endpoint in &endpoints {
            endpoint.set(Behaviour::Answer);
        }
        assert_eq!(ask(&site, "once", "last").await?.status, 200);
        Ok(())
    });
}

// Guards against further sends of a request that was admitted before it had crashed three endpoints.
#[test]
fn request_is_held_before_its_next_send() {
    run(async {
        let plan = RoutingPlan { attempts: 6, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let mut endpoints = Vec::new();
        for number in 0..8 {
            let id = format!("e-{number}");
            endpoints.push(site.add_endpoint("desk", &id, Behaviour::Crash).await?);
        }
        // It may have run, so that its client isn't told that it did not.
        assert_eq!(ask(&site, "read", "a1").await?.status, 502);
        assert_eq!(endpoints.iter().filter(|e| e.is_dead()).count(), 3);
        Ok(())
    });
}

// Guards against requests that crash further endpoints at instances which started after the crashes.
#[test]
fn crashes_are_known_to_an_instance_that_has_just_started() {
    run(async {
        let pair = start_pair().await?;
        let mut endpoints = Vec::new();
        for number in 0..6 {
            let id = format!("e-{number}");
            endpoints.push(pair.start_endpoint(&id, Behaviour::Crash, desk_entry).await?);
        }
        until_all_have([&pair.first, &pair.other], "endpoints", 6).await?;
        for number in 0..4 {
            let client = pair.first.addresses().client;
            RawClient::ask(client, "once", &format!("a{number}"), "").await?;
        }
        let late = start_member(&pair.first, 3, &pair.first_listener).await?;
        until_all_have([&late], "endpoints", 6).await?;
        until_all_have([&late], "crashes_total{source=\"peer\"}", 3).await?;
        for number in 0..3 {
            let client = late.addresses().client;
            let answer = RawClient::ask(client, "once", &format!("b{number}"), "").await?;
            assert_eq!(answer.status, 503);
        }
        assert_eq!(endpoints.iter().filter(|e| e.is_dead()).count(), 3);
        Ok(())
    });
}
