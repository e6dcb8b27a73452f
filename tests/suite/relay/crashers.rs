//! A request that takes down each endpoint that runs it.

use nutmeggrade_fakes::site::{Behaviour, RoutingPlan};

use super::ask;
use super::site::Site;
use crate::support::{run, until};

// A client sends again and again what takes down each endpoint that begins to run it. After three
// endpoints it is held back everywhere, and the rest of the service lives.
#[test]
fn crashing_request_stops_after_three_endpoints() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let mut endpoints = Vec::new();
        for number in 0..8 {
            let name = format!("e-{number}");
            endpoints.push(site.endpoint("desk", &name, Behaviour::Crash).await?);
        }
        let mut sent = 0;
        until("the request is held back", async || {
            sent += 1;
            let answer = ask(&site, "once", &format!("a{sent}")).await?;
            let body = String::from_utf8_lossy(&answer.message.body).into_owned();
            Ok(answer.status == 503 && body.contains("crash_held"))
        })
        .await?;
        let dead = endpoints.iter().filter(|e| e.is_dead()).count();
        assert!((3..=4).contains(&dead), "{dead}");
        assert_eq!(ask(&site, "once", "later").await?.status, 503);
        assert_eq!(endpoints.iter().filter(|e| e.is_dead()).count(), dead);
        Ok(())
    });
}
