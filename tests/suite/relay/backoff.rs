//! Endpoints that reject requests and ask an instance to wait.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, Fault, RoutingPlan, find_backoff_violation};
use tokio::time::{Instant, sleep};

use super::ask;
use super::site::{Site, metric};
use crate::support::{run, until};

// Guards against an endpoint that rejects everything and gets most requests, as it looks like the
// emptiest, though it has asked to be left alone.
#[test]
fn endpoint_that_asks_for_a_pause_is_left_alone() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let rejecting = site.add_endpoint("desk", "e-1", Behaviour::Shed).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Slow(Duration::from_millis(20))).await?;
        rejecting.notices().set_backoff(Some(Duration::from_secs(3)));
        let end = Instant::now() + Duration::from_secs(5);
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let id = format!("a{}", statuses.len());
            statuses.push(ask(&site, "once", &id).await?.status);
            sleep(Duration::from_millis(10)).await;
        }
        let violation = find_backoff_violation(&rejecting, |_| Some(0), |_, _, _| false);
        assert_eq!(violation, None);
        let rejected = statuses.iter().filter(|s| **s != 200).count();
        assert!(rejected <= 4, "{rejected} of {}", statuses.len());
        Ok(())
    });
}

// Guards against clients that wait for their deadline, or are told to come back too early, though
// all endpoints have asked for a longer pause.
#[test]
fn requests_are_refused_at_once_until_the_pause_ends() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 2_000, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Shed).await?;
        endpoint.notices().set_backoff(Some(Duration::from_secs(3)));
        assert_eq!(ask(&site, "once", "a0").await?.status, 503);
        let started = Instant::now();
        for number in 1..6 {
            let answer = ask(&site, "once", &format!("a{number}")).await?;
            assert_eq!(answer.status, 503);
            let delay: f64 = answer.message.header("retry-after").unwrap_or_default().parse()?;
            assert!(delay > 1.5, "{delay}");
        }
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        assert_eq!(endpoint.seen().len(), 1);
        endpoint.set(Behaviour::Answer);
        endpoint.notices().set_backoff(None);
        until("the endpoint serves after its pause", async || {
            Ok(ask(&site, "once", "later").await?.status == 200)
        })
        .await?;
        assert!(started.elapsed() > Duration::from_millis(2_500), "{:?}", started.elapsed());
        Ok(())
    });
}

// Guards against a queue that is sent to an endpoint as soon as its pause ends, to be rejected as a
// whole: single requests try whether it serves again.
#[test]
fn endpoint_is_tried_with_single_requests_after_its_pause() {
    run(async {
        // Requests wait for half of this time, in which only one pause ends.
        let plan = RoutingPlan { timeout_ms: 4_000, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Shed).await?;
        endpoint.notices().set_backoff(Some(Duration::from_millis(1_200)));
        assert_eq!(ask(&site, "once", "a0").await?.status, 503);
        sleep(Duration::from_millis(300)).await;
        let requests = (1..12).map(|n| {
            let (id, site) = (format!("a{n}"), &site);
            async move { ask(site, "once", &id).await }
        });
        for answer in futures::future::join_all(requests).await {
            assert_eq!(answer?.status, 503);
        }
        let tried = endpoint.seen().len() - 1;
        assert!((1..=2).contains(&tried), "{tried}");
        Ok(())
    });
}

// Guards against reports that are asked of a resting engine while the store is unavailable.
#[test]
fn resting_engine_is_asked_for_no_report() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let engine = site.add_endpoint("writers", "e-1", Behaviour::Shed).await?;
        engine.notices().set_backoff(Some(Duration::from_mins(1)));
        assert_eq!(ask(&site, "sort", "a0").await?.status, 503);
        site.store_listener.set(Fault::Refuse);
        let failed_calls = "store_calls_total{end=\"failed\",kind=\"endpoints\"}";
        until("calls to the store fail", async || {
            Ok(metric(site.instance.addresses().metrics, failed_calls).await? > 0)
        })
        .await?;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(engine.notices().status_checks(), []);
        Ok(())
    });
}
