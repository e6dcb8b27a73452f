//! Planned stops of an instance.

use std::time::Duration;

use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, RawClient, RoutingPlan, StreamEnd, request,
};
use nutmeggrade_relay::Instance;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::PROMPT_HEADERS;
use super::members::{Pair, start_pair, until_all_have};
use super::site::{Site, get_answer, metric};
use super::streams::events;
use crate::support::{run, until};

/// Begins to stop an instance and waits until it is not ready any more.
pub async fn begin_stop(instance: Instance) -> anyhow::Result<JoinHandle<()>> {
    let ready = instance.addresses().ready;
    let stopping = tokio::spawn(instance.stop());
    until("the instance is not ready", async || {
        Ok(get_answer(ready, "/nutmeggrade/readiness").await?.0 == 503)
    })
    .await?;
    Ok(stopping)
}

// An instance is stopped while a stream runs and while clients still use its address. The stream
// completes, and new requests get an answer that closes the connection, so that clients go
// elsewhere next time.
#[test]
fn planned_stop_cuts_nobody() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let pause = Duration::from_millis(10);
        let engine =
            site.add_endpoint("writers", "e-1", Behaviour::Stream { events: 90, pause }).await?;
        site.add_endpoint("desk", "e-2", Behaviour::Answer).await?;
        let addresses = site.instance.addresses();
        let mut stream = RawClient::connect(addresses.client).await?;
        stream.send(&request("draft", "a1", "key-1", PROMPT_HEADERS)).await?;
        until("the stream runs", async || Ok(engine.runs("a1") == 1)).await?;
        let stopping = begin_stop(site.instance).await?;
        let late = RawClient::ask(addresses.client, "once", "a2", "").await?;
        // The target latency of the route is five seconds and the grace period four, so the request
        // might not finish in time.
        assert_eq!(late.status, 503);
        assert_eq!(late.message.header("connection"), Some("close"));
        let answer = stream.answer().await?;
        assert!(answer.is_whole);
        assert_eq!(events(&answer.message.body).len(), 90);
        stopping.await?;
        Ok(())
    });
}

// A long answer is requested just before the stop. It is refused as not run, since it would be cut
// off.
#[test]
fn answer_that_could_not_end_is_refused() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let pause = Duration::from_millis(10);
        let engine =
            site.add_endpoint("writers", "e-1", Behaviour::Stream { events: 9, pause }).await?;
        let address = site.instance.addresses();
        let stopping = begin_stop(site.instance).await?;
        let long = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,4000\r\n";
        let answer = RawClient::ask(address.client, "draft", "a1", long).await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        assert_eq!(engine.runs("a1"), 0);
        stopping.await?;
        Ok(())
    });
}

// Guards against a stream that is accepted after the stop has begun because its client expects a
// short one, and is cut at the end of the grace period: estimates are accurate at the median only.
#[test]
fn stream_that_may_outlast_the_instance_is_refused() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let pause = Duration::from_millis(10);
        let engine =
            site.add_endpoint("writers", "e-1", Behaviour::Stream { events: 9, pause }).await?;
        let address = site.instance.addresses();
        let stopping = begin_stop(site.instance).await?;
        let long = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,4000\r\n\
             X-Nutmeggrade-Length-Hint: 10\r\n";
        assert_eq!(RawClient::ask(address.client, "draft", "a1", long).await?.status, 503);
        let short = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,40\r\n\
             X-Nutmeggrade-Deadline-Ms: 2000\r\n";
        assert_eq!(RawClient::ask(address.client, "draft", "a2", short).await?.status, 200);
        assert_eq!(engine.runs("a1"), 0);
        stopping.await?;
        Ok(())
    });
}

/// Sends requests until one waits for room at the only endpoint; returns their ids and clients, that one last.
pub async fn send_until_one_waits(
    site: &Site,
    endpoint: &Endpoint,
    route: &str,
    headers: &str,
) -> anyhow::Result<Vec<(String, RawClient)>> {
    let addresses = site.instance.addresses();
    let mut clients = Vec::new();
    while metric(addresses.metrics, "waiting").await? == 0 {
        let id = format!("a{}", clients.len());
        let mut client = RawClient::connect(addresses.client).await?;
        client.send(&request(route, &id, "key-1", headers)).await?;
        until("the request is placed or waits", async || {
            let waiting = metric(addresses.metrics, "waiting").await?;
            Ok(waiting > 0 || endpoint.runs(&id) == 1)
        })
        .await?;
        clients.push((id, client));
    }
    Ok(clients)
}

// A request waits for room when the stop begins. It would be sent as soon as there is room, though
// its answer could be cut at the end of the grace period.
#[test]
fn waiting_request_that_could_not_end_is_refused() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let slow = Behaviour::Slow(Duration::from_millis(1_500));
        let endpoint = site.add_endpoint("desk", "e-1", slow).await?;
        let mut clients = send_until_one_waits(&site, &endpoint, "once", "").await?;
        let (id, mut waiting) = clients.pop().expect("a request waits");
        let stopping = begin_stop(site.instance).await?;
        let answer = waiting.answer().await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        assert_eq!(endpoint.runs(&id), 0);
        for (_, mut client) in clients {
            assert_eq!(client.answer().await?.status, 200);
        }
        stopping.await?;
        Ok(())
    });
}

/// Asks an instance that stops beside another one, with an endpoint that takes long; checks whether the
/// request, which may take as long as the plan's timeout, is accepted.
fn accepts_beside_another_instance(timeout_ms: u64, time: Duration, is_accepted: bool) {
    run(async {
        let pair = start_pair().await?;
        let plan = RoutingPlan { version: 2, target_ms: 100, timeout_ms, ..RoutingPlan::default() };
        pair.store.put("config", "main", plan.content());
        until_all_have([&pair.first, &pair.other], "config_version", 2).await?;
        let endpoint = pair.add_endpoint("desk", Behaviour::Slow(time)).await?;
        until_all_have([&pair.first], "serving_peers", 1).await?;
        let Pair { first, other: _other, .. } = pair;
        let address = first.addresses().client;
        let stopping = begin_stop(first).await?;
        let answer = RawClient::ask(address, "once", "a1", "").await?;
        assert_eq!(answer.status, if is_accepted { 200 } else { 503 });
        assert_eq!(endpoint.runs("a1"), usize::from(is_accepted));
        if !is_accepted {
            assert!(answer.message.header("retry-after").is_some());
        }
        stopping.await?;
        Ok(())
    });
}

// Guards against requests that a stopping instance accepts by the time that such requests usually take,
// and cuts off at its end while their endpoint is silent.
cases! {accepts_beside_another_instance {
    a_request_that_may_outlast_it: 6_000, Duration::from_millis(4_500), false;
    a_request_that_ends_before_it: 1_000, Duration::from_millis(300), true;
}}

// Guards against a stream that is accepted late in the grace period and cut at its end, because the time
// in which its long prompt is read was not counted.
#[test]
fn stream_with_a_long_prompt_is_refused() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let late = Behaviour::LateStream { delay: Duration::from_millis(3_600), events: 9 };
        let engine = site.add_endpoint("writers", "e-1", late).await?;
        let address = site.instance.addresses();
        let stopping = begin_stop(site.instance).await?;
        let long = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 24000,40\r\n";
        assert_eq!(RawClient::ask(address.client, "draft", "a1", long).await?.status, 503);
        assert_eq!(engine.runs("a1"), 0);
        stopping.await?;
        Ok(())
    });
}

// Guards against a request that may not be repeated, is accepted late in the grace period by the time that
// such requests usually take, and is cut at its end: its client can't tell whether it ran.
#[test]
fn unrepeatable_request_that_may_outlast_the_instance_is_refused() {
    run(async {
        let plan = RoutingPlan { target_ms: 100, timeout_ms: 6_000, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let slow = Behaviour::Slow(Duration::from_millis(200));
        let endpoint = site.add_endpoint("desk", "e-1", slow).await?;
        let address = site.instance.addresses();
        let stopping = begin_stop(site.instance).await?;
        let answer = RawClient::ask(address.client, "once", "a1", "").await?;
        assert_eq!(answer.status, 503);
        assert!(answer.message.header("retry-after").is_some());
        assert_eq!(endpoint.runs("a1"), 0);
        let short = "X-Nutmeggrade-Deadline-Ms: 1000\r\n";
        assert_eq!(RawClient::ask(address.client, "once", "a2", short).await?.status, 200);
        assert_eq!(RawClient::ask(address.client, "read", "a3", "").await?.status, 200);
        stopping.await?;
        Ok(())
    });
}

// Guards against a request with a single response and a long prompt that is accepted late in the grace
// period, because the time in which its prompt is read was not counted.
#[test]
fn repeatable_request_with_a_long_prompt_is_refused() {
    run(async {
        let plan = RoutingPlan { target_ms: 100, ..RoutingPlan::default() };
        let site = Site::start(&plan).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let address = site.instance.addresses();
        let stopping = begin_stop(site.instance).await?;
        let long = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 24000,40\r\n";
        assert_eq!(RawClient::ask(address.client, "read", "a1", long).await?.status, 503);
        let short = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 100,40\r\n";
        assert_eq!(RawClient::ask(address.client, "read", "a2", short).await?.status, 200);
        assert_eq!((endpoint.runs("a1"), endpoint.runs("a2")), (0, 1));
        stopping.await?;
        Ok(())
    });
}

/// Sends a request to an instance whose endpoint never answers, stops the instance, and checks that the
/// client is told that the outcome is unknown.
fn open_request_is_answered_at_the_end(route: &str) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Hang).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request(route, "a1", "key-1", "")).await?;
        until("it runs", async || Ok(endpoint.runs("a1") == 1)).await?;
        let stopping = begin_stop(site.instance).await?;
        let answer = client.answer().await?;
        assert_eq!(answer.status, 502);
        assert!(answer.is_whole && answer.message.header("retry-after").is_none());
        stopping.await?;
        Ok(())
    });
}

// Guards against clients whose connection closes without an answer at the end of the grace period.
cases! {open_request_is_answered_at_the_end {
    unrepeatable: "once";
    repeatable: "read";
}}

// Guards against a request that is sent late in the grace period because the stop began while it waited
// for a connection.
#[test]
fn request_that_connects_during_the_stop_is_not_sent() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let socket = TcpSocket::new_v4()?;
        socket.bind("127.0.0.1:0".parse()?)?;
        let listener = socket.listen(0)?;
        let endpoint = listener.local_addr()?;
        site.store.put("servers", "e-1", Entry::new("desk", endpoint).content());
        site.until_metric("endpoints", 1).await?;
        // Fills the queue of connections, so that the instance waits for its own.
        let filling = TcpStream::connect(endpoint).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&request("once", "a1", "key-1", "")).await?;
        sleep(Duration::from_millis(100)).await;
        let stopping = tokio::spawn(site.instance.stop());
        sleep(Duration::from_millis(50)).await;
        let reading = tokio::spawn(async move {
            let mut received = Vec::new();
            while let Ok(Ok((mut stream, _))) =
                timeout(Duration::from_secs(2), listener.accept()).await
            {
                let read = stream.read_buf(&mut received);
                drop(timeout(Duration::from_millis(500), read).await);
            }
            received
        });
        assert_eq!(client.answer().await?.status, 503);
        drop(filling);
        assert_eq!(String::from_utf8(reading.await?)?, "");
        stopping.await?;
        Ok(())
    });
}

// Guards against a stream that breaks late in the grace period, is run again and cut a second time, though
// its client could resume it at another instance at once.
#[test]
fn broken_stream_that_may_outlast_the_instance_is_not_run_again() {
    run(async {
        let pair = start_pair().await?;
        let part = Behaviour::StreamPart { events: 5, rest: "", end: StreamEnd::Reset };
        let mut endpoints = Vec::new();
        for id in ["e-1", "e-2"] {
            let entry = |address| Entry::new("writers", address);
            let endpoint = pair.start_endpoint(id, part, entry).await?;
            endpoint.hold_ends(true);
            endpoints.push(endpoint);
        }
        let runs = || endpoints.iter().map(|e| e.runs("a1")).sum::<usize>();
        until_all_have([&pair.first], "endpoints", 2).await?;
        until_all_have([&pair.first], "serving_peers", 1).await?;
        let Pair { first, other: _other, .. } = pair;
        let mut client = RawClient::connect(first.addresses().client).await?;
        client.send(&request("sort", "a1", "key-1", PROMPT_HEADERS)).await?;
        until("the stream runs", async || Ok(runs() == 1)).await?;
        let stopping = begin_stop(first).await?;
        for endpoint in &endpoints {
            endpoint.hold_ends(false);
        }
        assert!(!client.answer().await?.is_whole);
        stopping.await?;
        assert_eq!(runs(), 1);
        Ok(())
    });
}
