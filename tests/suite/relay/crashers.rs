//! A request that crashes each endpoint that runs it.

use nutmeggrade_fakes::site::{Behaviour, RoutingPlan};

use super::ask;
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
