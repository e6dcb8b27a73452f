//! An instance that serves routes, as a process, with its store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use anyhow::Context;
use http::Method;
use tokio::time::{Instant, sleep};

use crate::fleet::{Process, log_folder, program_folder};
use crate::http::send;
use crate::site::{Behaviour, Endpoint, Entry, Generations, RoutingPlan, Store, StoreListener};

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const FLAGS: [&str; 6] = ["client", "ready", "directory", "control", "beacon", "metrics"];

/// A listener of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// Clients' requests.
    Client,
    /// Readiness checks.
    Ready,
    /// The directory of instances.
    Directory,
    /// Peers' requests for what they can't read.
    Control,
    /// Requests that peers forward.
    Beacon,
    /// Metrics.
    Metrics,
}

/// An instance as a process, which is killed when this is dropped.
#[derive(Debug)]
pub struct RelayHost {
    store: Store,
    _store_access: StoreListener,
    generations: Generations,
    process: Process,
    addresses: [SocketAddr; FLAGS.len()],
}

impl RelayHost {
    /// Starts an instance with further flags and waits until the configuration is in force.
    pub async fn start(plan: &RoutingPlan, flags: &[&str]) -> anyhow::Result<Self> {
        let store = Store::new();
        store.put("config", "main", plan.content());
        let store_access = store.open_listener().await?;
        let addresses = free_addresses()?;
        let mut args: Vec<String> =
            ["relay", "--instance=i-1", "--domain=veluwe"].map(str::to_owned).to_vec();
        args.push(format!("--platform={}", store_access.address));
        args.extend(FLAGS.iter().zip(addresses).map(|(f, a)| format!("--{f}-address={a}")));
        args.extend(flags.iter().map(|f| (*f).to_owned()));
        let program = program_folder()?.join("nutmeggrade");
        let log = log_folder()?.join("crowd.log");
        let process = Process::start_logged("i-1", &program, &args, &[], &log)?;
        let generations = Generations::default();
        let host = Self { store, _store_access: store_access, generations, process, addresses };
        host.until_metric("config_version", plan.version).await?;
        Ok(host)
    }

    /// Starts an endpoint in the test's process and waits until the instance lists it.
    pub async fn add_endpoint(
        &self,
        service: &str,
        id: &str,
        behaviour: Behaviour,
    ) -> anyhow::Result<Endpoint> {
        let endpoint = Endpoint::start(id, behaviour, &self.generations).await?;
        let before = self.metric("endpoints").await?;
        self.store.put("servers", id, Entry::new(service, endpoint.address).content());
        self.until_metric("endpoints", before + 1).await?;
        Ok(endpoint)
    }

    /// Returns the address of a listener.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        self.addresses[listener as usize]
    }

    /// Returns the id of the process.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> anyhow::Result<bool> {
        Ok(self.process.exit_status()?.is_none())
    }

    /// Returns the value of a metric, or 0 if it is missing.
    pub async fn metric(&self, name: &str) -> anyhow::Result<u64> {
        let address = self.address(Listener::Metrics);
        let (_, text) = send(address, Method::GET, "/metrics", &[], Vec::new()).await?;
        let text = String::from_utf8_lossy(&text);
        let line = text.lines().find_map(|l| l.strip_prefix(&format!("nutmeggrade_relay_{name} ")));
        line.map_or(Ok(0), |value| value.trim().parse().context("parse metric"))
    }

    async fn until_metric(&self, name: &str, value: u64) -> anyhow::Result<()> {
        let start = Instant::now();
        while !self.metric(name).await.is_ok_and(|current| current == value) {
            anyhow::ensure!(start.elapsed() < START_TIMEOUT, "timed out: {name} is {value}");
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// Returns addresses with ports that are free, on an address of 127.0.0.0/8 that depends on this
/// process, so that other processes' connections don't take them.
fn free_addresses() -> anyhow::Result<[SocketAddr; FLAGS.len()]> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, 250));
    let mut addresses = [SocketAddr::new(ip, 0); FLAGS.len()];
    // All sockets stay bound until every port is chosen, so that the ports differ.
    let mut sockets = Vec::new();
    for address in &mut addresses {
        let listener = TcpListener::bind((ip, 0)).context("find a free port")?;
        *address = listener.local_addr().context("address of a socket")?;
        sockets.push((listener, UdpSocket::bind(*address).context("find a free port")?));
    }
    Ok(addresses)
}
