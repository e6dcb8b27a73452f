//! Endpoints that limit the rate of requests from all instances together.

use std::time::Duration;

use futures::future::{join_all, try_join_all};
use http::{HeaderMap, StatusCode};
use nutmeggrade_core::routing::RateLimit;
use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Generations, RawClient, RoutingPlan, Store, find_limit_violation,
};
use nutmeggrade_relay::Instance;
use nutmeggrade_wire::names;
use nutmeggrade_wire::notice::{LimitNotice, Notice};
use tokio::time::{Instant, sleep};

use super::ask;
use super::members::{start_member, start_pair, until_all_have};
use super::site::{Site, start_instance};
use crate::support::run;

const INSTANCES: usize = 3;
/// Longer than the time after which a limit is checked and the window of the check together.
const TRAFFIC: Duration = Duration::from_secs(8);

/// Starts instances and waits until each hears all others.
async fn start_instances(store: &Store) -> anyhow::Result<Vec<Instance>> {
    let listener = store.open_listener().await?;
    let mut instances = vec![start_instance("i-1", &listener, "").await?];
    for number in 2..=INSTANCES {
        instances.push(start_member(&instances[0], number, &listener).await?);
    }
    until_all_have(&instances, "peers", INSTANCES as u64 - 1).await?;
    Ok(instances)
}

/// Sends requests to an instance, one every 25 ms, and returns their statuses. Ids begin with the
/// instance's number.
async fn send_requests(
    n: usize,
    instance: &Instance,
    route: &str,
    time: Duration,
) -> anyhow::Result<Vec<u16>> {
    let (client, end) = (instance.addresses().client, Instant::now() + time);
    let mut requests = Vec::new();
    while Instant::now() < end {
        let id = format!("{n}-{route}-{}", requests.len());
        let route = route.to_owned();
        requests.push(tokio::spawn(async move {
            let headers = "X-Nutmeggrade-Deadline-Ms: 2000\r\n";
            RawClient::ask(client, &route, &id, headers).await
        }));
        sleep(Duration::from_millis(25)).await;
    }
    let answers = try_join_all(requests).await?;
    answers.into_iter().map(|answer| Ok(answer?.status)).collect()
}

fn instance_of(id: &str) -> Option<usize> {
    id.split('-').next()?.parse().ok()
}

// Guards against an endpoint that is short of something and gets many times the requests that it
// asked for, because each instance sends as if no limit were stated, or as if it were alone.
#[test]
fn rate_limit_holds_over_all_instances() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let instances = start_instances(&store).await?;
        let generations = Generations::default();
        let limited = Endpoint::start("e-1", Behaviour::Answer, &generations).await?;
        let other = Endpoint::start("e-2", Behaviour::Answer, &generations).await?;
        limited.notices().set_limit(Some(3.0));
        for endpoint in [&limited, &other] {
            let entry = Entry::new("desk", endpoint.address);
            store.put("servers", endpoint.id(), entry.content());
        }
        until_all_have(&instances, "endpoints", 2).await?;
        let clients = instances.iter().enumerate().flat_map(|(n, instance)| {
            ["once", "read"].map(|route| send_requests(n, instance, route, TRAFFIC))
        });
        let statuses: Vec<Vec<u16>> =
            join_all(clients).await.into_iter().collect::<Result<_, _>>()?;
        let violation = find_limit_violation(&limited, instance_of, |_, _, _| false);
        assert_eq!(violation, None);
        // The limit is used, and the other endpoint serves the rest.
        assert!(limited.seen().len() >= 12, "{}", limited.seen().len());
        assert!(statuses.iter().flatten().all(|s| *s == 200), "{statuses:?}");
        Ok(())
    });
}

// Guards against clients that wait for their deadline though the turns at the only endpoint are
// taken: they are told at once that nothing ran, and when to retry.
#[test]
fn request_beyond_the_limit_is_refused_at_once() {
    run(async {
        let plan = RoutingPlan { timeout_ms: 4_000, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        endpoint.notices().set_limit(Some(0.1));
        assert_eq!(ask(&site, "once", "a0").await?.status, 200);
        site.until_metric("limited_endpoints", 1).await?;
        // The first request after the limit is known may have a turn.
        ask(&site, "once", "a1").await?;
        let before = endpoint.seen().len();
        let started = Instant::now();
        for number in 2..8 {
            let answer = ask(&site, "once", &format!("a{number}")).await?;
            assert_eq!(answer.status, 503);
            assert!(answer.message.header("retry-after").is_some());
        }
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        assert_eq!(endpoint.seen().len(), before);
        Ok(())
    });
}

// Guards against an instance that has no response of the endpoint of its own yet and sends as if
// there were no limit, and against one that keeps a limit after the endpoint has withdrawn it.
#[test]
fn limit_and_its_end_are_told_to_peers() {
    run(async {
        let pair = start_pair().await?;
        let endpoint = pair.add_endpoint("desk", Behaviour::Answer).await?;
        let first = pair.first.addresses().client;
        endpoint.notices().set_limit(Some(50.0));
        assert_eq!(RawClient::ask(first, "once", "a1", "").await?.status, 200);
        until_all_have([&pair.other], "limited_endpoints", 1).await?;
        endpoint.notices().set_limit(None);
        sleep(Duration::from_millis(1_100)).await;
        assert_eq!(RawClient::ask(first, "once", "a2", "").await?.status, 200);
        until_all_have([&pair.other], "limited_endpoints", 0).await
    });
}

/// Checks how the headers of a response are read.
fn limit_is_read(values: &[&str], expected: LimitNotice) {
    let values = values.iter().map(|v| (names::RATE_LIMIT, v.parse().expect("a header value")));
    let mut headers = HeaderMap::new();
    for (name, value) in values {
        headers.append(name, value);
    }
    assert_eq!(Notice::read(StatusCode::OK, &headers).limit, expected);
}

fn stated(per_second: f64) -> LimitNotice {
    LimitNotice::Stated(RateLimit::new(per_second).expect("a rate"))
}

// Guards against a limit that is dropped because its header can't be read.
cases! {limit_is_read {
    decimal: &["5.6"], stated(5.6);
    whole: &[" 12 "], stated(12.0);
    nothing_more: &["0"], stated(0.0);
    lowest_of_several: &["7", "x", "3.5"], stated(3.5);
    none: &[], LimitNotice::Absent;
    text: &["soon"], LimitNotice::Malformed;
    negative: &["-1"], LimitNotice::Malformed;
    infinite: &["inf"], LimitNotice::Malformed;
}}
