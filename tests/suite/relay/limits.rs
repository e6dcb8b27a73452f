//! Endpoints that limit the rate of requests from all instances together.

use std::time::Duration;

use futures::future::{join_all, try_join_all};
use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Generations, RawClient, RoutingPlan, Store, find_limit_violation,
};
use nutmeggrade_relay::{Instance, LogBuffer};
use tokio::time::{Instant, sleep};

use super::site::{metric, settings, start_instance};
use crate::support::{run, until};

const INSTANCES: usize = 3;
/// Longer than the time after which a limit is checked and the window of the check together.
const TRAFFIC: Duration = Duration::from_secs(8);

/// Starts instances that exchange heartbeats, on one loopback address each.
async fn start_instances(store: &Store) -> anyhow::Result<Vec<Instance>> {
    let listener = store.open_listener().await?;
    let first = start_instance("i-0", &listener, "").await?;
    let (beacon, control) = (first.addresses().beacon, first.addresses().control);
    let mut instances = vec![first];
    for n in 1..INSTANCES {
        let own = format!("127.0.0.{}:{}", n + 1, beacon.port());
        let settings = settings(&format!("i-{n}"), &listener, &control.to_string(), &own)?;
        instances.push(Instance::start(&settings, &LogBuffer::new(), 1).await?);
    }
    for instance in &instances {
        let metrics = instance.addresses().metrics;
        until("all instances are heard", async || {
            Ok(metric(metrics, "peers").await? == INSTANCES as u64 - 1)
        })
        .await?;
    }
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
        for instance in &instances {
            let metrics = instance.addresses().metrics;
            let listed = async || Ok(metric(metrics, "endpoints").await? == 2);
            until("both endpoints are listed", listed).await?;
        }
        let clients = instances.iter().enumerate().flat_map(|(n, instance)| {
            ["once", "read"].map(|route| send_requests(n, instance, route, TRAFFIC))
        });
        let statuses: Vec<Vec<u16>> =
            join_all(clients).await.into_iter().collect::<Result<_, _>>()?;
        let violation = find_limit_violation(&limited, instance_of, |_, _| false);
        assert_eq!(violation, None);
        // The limit is used, and the other endpoint serves the rest.
        assert!(limited.seen().len() >= 12, "{}", limited.seen().len());
        assert!(statuses.iter().flatten().all(|s| *s == 200), "{statuses:?}");
        Ok(())
    });
}
