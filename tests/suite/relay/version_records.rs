//! Streams that are taken up where no instance knows at which version they began.

use std::time::Duration;

use nutmeggrade_fakes::site::{
    Behaviour, Endpoint, Entry, Fault, Generations, RawClient, RoutingPlan, Store, StoreListener,
    request,
};
use nutmeggrade_relay::{Clock, Instance, LogBuffer};
use nutmeggrade_state::stream_table::STREAM_RETENTION;
use nutmeggrade_wire::version_record::KIND;
use serde_json::json;

use super::PROMPT_HEADERS;
use super::members::{start_member, until_all_have};
use super::site::{metric, settings, start_instance};
use crate::support::{run, until};

/// Streams that begin in a test.
const STREAMS: usize = 6;
const STREAM: Behaviour = Behaviour::Stream { events: 80, pause: Duration::from_millis(10) };

/// A store with engines of one service, and the streams that began.
struct Plant {
    store: Store,
    listener: StoreListener,
    engines: Vec<Endpoint>,
    clients: Vec<RawClient>,
}

impl Plant {
    async fn new() -> anyhow::Result<Self> {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let listener = store.open_listener().await?;
        Ok(Self { store, listener, engines: Vec::new(), clients: Vec::new() })
    }

    /// Starts and registers an engine of a version.
    async fn add_engine(&mut self, version: &str) -> anyhow::Result<()> {
        let id = format!("e-{version}");
        let engine = Endpoint::start(&id, STREAM, &Generations::default()).await?;
        let entry = Entry::new("writers", engine.address).with_version(version);
        self.store.put("servers", &id, entry.content());
        self.engines.push(engine);
        Ok(())
    }

    /// Begins streams at an instance, and waits until each client has some events.
    async fn begin_streams(&mut self, instance: &Instance) -> anyhow::Result<()> {
        for number in 0..STREAMS {
            let mut client = RawClient::connect(instance.addresses().client).await?;
            let id = format!("a{number}");
            client.send(&request("sort", &id, "key-1", PROMPT_HEADERS)).await?;
            client.read_at_least(300).await?;
            self.clients.push(client);
        }
        Ok(())
    }

    /// Takes the streams up at an instance; returns the statuses of the responses.
    async fn take_up(&mut self, instance: &Instance) -> anyhow::Result<Vec<u16>> {
        self.clients.clear();
        let mut statuses = Vec::new();
        for number in 0..STREAMS {
            let headers = format!("{PROMPT_HEADERS}Last-Event-Id: 2\r\nResumes: a{number}\r\n");
            let (client, id) = (instance.addresses().client, format!("b{number}"));
            let answer = RawClient::ask(client, "sort", &id, &headers).await?;
            statuses.push(answer.status);
        }
        Ok(statuses)
    }
}

async fn has_endpoints(instance: &Instance, count: u64) -> anyhow::Result<()> {
    until_all_have([instance], "endpoints", count).await
}

/// Loses all instances while the versions of a service change, and takes the streams up at a new one.
fn all_instances_are_lost(later: &'static [&'static str], status: u16) {
    run(async {
        let mut plant = Plant::new().await?;
        plant.add_engine("v1").await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        has_endpoints(&first, 1).await?;
        plant.begin_streams(&first).await?;
        for version in later {
            plant.add_engine(version).await?;
        }
        has_endpoints(&first, 1 + later.len() as u64).await?;
        drop(first);
        if !later.is_empty() {
            plant.store.remove("servers", "e-v1");
        }
        let second = start_instance("i-2", &plant.listener, "").await?;
        has_endpoints(&second, later.len().max(1) as u64).await?;
        assert_eq!(plant.take_up(&second).await?, [status; STREAMS]);
        Ok(())
    });
}

// Guards against streams that go on at another version after all instances were lost, since the new
// ones see one version and take it for the only one.
cases! {all_instances_are_lost {
    with_one_version: &[], 200;
    as_the_version_changes: &["v2"], 503;
}}

// Guards against the same where an instance survives that the restarted one doesn't know yet.
#[test]
fn restarted_instance_knows_no_peer_yet() {
    run(async {
        let mut plant = Plant::new().await?;
        plant.add_engine("v1").await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        let other = start_member(&first, 2, &plant.listener).await?;
        until_all_have([&first, &other], "endpoints", 1).await?;
        plant.begin_streams(&other).await?;
        plant.add_engine("v2").await?;
        until_all_have([&first, &other], "endpoints", 2).await?;
        drop(other);
        plant.store.remove("servers", "e-v1");
        has_endpoints(&first, 1).await?;
        let restarted = start_instance("i-2", &plant.listener, "").await?;
        has_endpoints(&restarted, 1).await?;
        assert_eq!(plant.take_up(&restarted).await?, [503; STREAMS]);
        Ok(())
    });
}

/// Replaces a version while an instance that has run for long gets neither heartbeats nor the store's
/// notices, and takes streams of the new version up there.
fn instance_is_out_of_step(fault: Fault) {
    run(async {
        let mut plant = Plant::new().await?;
        plant.add_engine("v1").await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        let listener = plant.store.open_listener().await?;
        let clock = Clock::new().with_uptime(STREAM_RETENTION + Duration::from_secs(10));
        let settings = settings("i-2", &listener, "", "127.0.0.1:0")?;
        let stale = Instance::start_with_clock(&settings, &LogBuffer::new(), 1, clock).await?;
        until_all_have([&first, &stale], "endpoints", 1).await?;
        listener.set(fault);
        listener.lose_waiting(&["servers"]);
        plant.add_engine("v2").await?;
        has_endpoints(&first, 2).await?;
        plant.store.remove("servers", "e-v1");
        has_endpoints(&first, 1).await?;
        plant.begin_streams(&first).await?;
        let engine = &plant.engines[1];
        until("the streams run at v2", async || Ok(engine.seen().len() >= STREAMS)).await?;
        has_endpoints(&stale, 1).await?;
        assert_eq!(plant.take_up(&stale).await?, [503; STREAMS]);
        Ok(())
    });
}

// Guards against an instance that is out of step and takes its own view of a service's versions for
// all there were, because it has run for long.
cases! {instance_is_out_of_step {
    as_watches_are_silent: Fault::SilentWatches;
    as_the_store_refuses_it: Fault::Refuse;
}}

// Guards against streams that are taken up without knowledge of the versions that there were.
#[test]
fn take_up_is_refused_while_the_store_is_away() {
    run(async {
        let mut plant = Plant::new().await?;
        plant.add_engine("v1").await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        has_endpoints(&first, 1).await?;
        plant.listener.set(Fault::Refuse);
        assert_eq!(plant.take_up(&first).await?, [503; STREAMS]);
        plant.listener.set(Fault::None);
        assert_eq!(plant.take_up(&first).await?, [200; STREAMS]);
        Ok(())
    });
}

/// Checks that a stream is taken up only once a reader has written the record anew.
fn record_is_lost(damage: fn(&Store), status: u16) {
    run(async {
        let mut plant = Plant::new().await?;
        plant.add_engine("v1").await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        has_endpoints(&first, 1).await?;
        damage(&plant.store);
        assert_eq!(plant.take_up(&first).await?, [503; STREAMS]);
        drop(first);
        let second = start_instance("i-2", &plant.listener, "").await?;
        has_endpoints(&second, 1).await?;
        assert_eq!(plant.take_up(&second).await?, [status; STREAMS]);
        let versions = plant.store.content(KIND, "writers")["versions"].clone();
        assert_eq!(versions, json!({ "v1": "serving" }));
        Ok(())
    });
}

// Guards against a record that is not there, or that nobody can read, and is taken for one without
// further versions; and against a service that nobody records again.
cases! {record_is_lost {
    by_removal: |store| store.remove(KIND, "writers"), 200;
    by_another_writer: |store| store.put(KIND, "writers", json!({ "versions": 3 })), 503;
}}

// Guards against streams that begin at a version before it is recorded.
#[test]
fn version_is_recorded_before_its_endpoints_serve() {
    run(async {
        let mut plant = Plant::new().await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        until_all_have([&first], "config_version", 1).await?;
        for (version, count) in [("v1", 1), ("v2", 2)] {
            plant.add_engine(version).await?;
            has_endpoints(&first, count).await?;
            let versions = &plant.store.content(KIND, "writers")["versions"];
            assert_eq!(versions[version], "serving", "{versions}");
        }
        Ok(())
    });
}

// Guards against a call to the store for each endpoint and each stream: only new versions are recorded,
// and one reading serves all streams that wait for it.
#[test]
fn records_take_few_calls() {
    run(async {
        let mut plant = Plant::new().await?;
        let first = start_instance("i-1", &plant.listener, "").await?;
        let metrics = first.addresses().metrics;
        plant.add_engine("v1").await?;
        has_endpoints(&first, 1).await?;
        let calls = async || {
            let of = async |reason: &str| {
                let name =
                    format!("store_call_reasons_total{{kind=\"{KIND}\",reason=\"{reason}\"}}");
                metric(metrics, &name).await
            };
            anyhow::Ok((of("versions").await?, of("write").await?, of("take_up").await?))
        };
        // The endpoint's first listing or its first change, and the check that runs each second.
        let (listings, writes, _) = calls().await?;
        assert!(listings <= 2, "{listings}");
        assert_eq!(writes, 1);
        let engine = Endpoint::start("e-2", STREAM, &Generations::default()).await?;
        let entry = Entry::new("writers", engine.address).with_version("v1");
        plant.store.put("servers", "e-2", entry.content());
        has_endpoints(&first, 2).await?;
        plant.begin_streams(&first).await?;
        plant.clients.clear();
        let headers = format!("{PROMPT_HEADERS}Last-Event-Id: 2\r\nResumes: never\r\n");
        let taken_up = (0..20).map(|number| {
            let (client, id, headers) =
                (first.addresses().client, format!("b{number}"), headers.clone());
            async move { RawClient::ask(client, "sort", &id, &headers).await }
        });
        for answer in futures::future::join_all(taken_up).await {
            assert_eq!(answer?.status, 200);
        }
        let (_, writes, take_ups) = calls().await?;
        assert_eq!(writes, 1);
        assert!((1..20).contains(&take_ups), "{take_ups}");
        Ok(())
    });
}
