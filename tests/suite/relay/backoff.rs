//! Endpoints that reject requests and ask an instance to wait.

use std::time::Duration;

use nutmeggrade_fakes::site::{Behaviour, RoutingPlan, find_backoff_violation};
use tokio::time::{Instant, sleep};

use super::ask;
use super::site::Site;
use crate::support::run;

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
