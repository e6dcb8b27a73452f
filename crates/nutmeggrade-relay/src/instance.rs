//! Starts and stops an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::peer::InstanceAddresses;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::admin::Admin;
use crate::clock::Clock;
use crate::logs::LogBuffer;
use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{engine_watch, front, intake, rollouts, ticker, version_records, watch};

/// Fraction of the grace period after which no new connections are accepted: later ones could not
/// finish in time.
const CLOSING_FRACTION: f64 = 0.8;
/// Fraction of the grace period after which the process ends, just before it would be killed.
const END_FRACTION: f64 = 0.95;
/// Time before the end for the failures of requests that have no response yet.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Heartbeats that announce the stop; datagrams may be lost.
const STOP_HEARTBEATS: u32 = 3;
/// Interval between these heartbeats.
const STOP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Ports that are drawn until one is free for both protocols, if the settings name none.
const MAX_PORT_DRAWS: u32 = 16;

/// Addresses on which an instance listens. Port 0 in the settings is replaced by the port that was
/// chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Client requests.
    pub client: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Directory of instances.
    pub directory: SocketAddr,
    /// Peers' requests over HTTP.
    pub control: SocketAddr,
    /// Peers' heartbeats over UDP, and forwarded requests over TCP.
    pub beacon: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    node: Arc<Node>,
    peers: Arc<Peers>,
    front: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    addresses: Addresses,
}

impl Instance {
    /// Opens all sockets and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub async fn start(
        settings: &Settings,
        logs: &LogBuffer,
        incarnation: u64,
    ) -> anyhow::Result<Self> {
        Self::start_with_clock(settings, logs, incarnation, Clock::new()).await
    }

    /// Opens all sockets and starts to serve, by a clock that may have run for some time.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub async fn start_with_clock(
        settings: &Settings,
        logs: &LogBuffer,
        incarnation: u64,
        clock: Clock,
    ) -> anyhow::Result<Self> {
        let listener = intake::bind(settings.client_address)?;
        let (peers, forwarded) = bind_for_peers(settings.beacon_address).await?;
        let peers = Arc::new(peers);
        let admin = Admin::bind(settings)?;
        let addresses = Addresses {
            client: listener.local_addr().context("client address")?,
            ready: admin.ready()?,
            directory: admin.directory()?,
            control: admin.control()?,
            beacon: peers.address()?,
            metrics: admin.metrics()?,
        };
        let own_addresses = InstanceAddresses {
            domain: settings.domain.clone(),
            client: addresses.client,
            beacon: addresses.beacon,
            control: addresses.control,
        };
        let node = Arc::new(Node::new(settings, &own_addresses, logs, incarnation, clock)?);
        tracing::info!(event = "started", instance = %settings.instance, domain = %settings.domain,
            clients = %addresses.client, directory = %addresses.directory,
            metrics = %addresses.metrics, incarnation);
        let mut tasks = watch::start(&node);
        tasks.extend(admin.start(&node));
        tasks.push(tokio::spawn(send_heartbeats(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(receive(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(send_outbox(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(send_placements(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(send_failures(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(send_streams(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(forward_placements(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(version_records::run(Arc::clone(&node))));
        tasks.extend(rollouts::start(&node, &peers));
        tasks.push(tokio::spawn(ticker::run(Arc::clone(&node))));
        tasks.push(tokio::spawn(engine_watch::run(Arc::clone(&node))));
        let front = tokio::spawn(front::serve(Arc::clone(&node), listener, forwarded));
        Ok(Self { node, peers, front, tasks, addresses })
    }

    /// Returns the addresses on which the instance listens.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the instance's shared state.
    pub(crate) fn node(&self) -> Arc<Node> {
        Arc::clone(&self.node)
    }

    /// Leaves the directory, keeps serving for the grace period, and returns when all responses are
    /// complete.
    ///
    /// Clients cache an address for seconds, and a request is lost if its connection is closed
    /// under it.
    pub async fn stop(mut self) {
        let grace = self.node.settings().grace;
        tracing::info!(event = "leaving", grace_ms = grace.as_millis());
        self.node.leave(self.node.now().after(grace.mul_f64(END_FRACTION)));
        for _ in 0..STOP_HEARTBEATS {
            self.peers.send_heartbeat_to_all(&self.node).await;
            sleep(STOP_HEARTBEAT_INTERVAL).await;
        }
        sleep(
            grace
                .mul_f64(CLOSING_FRACTION)
                .saturating_sub(STOP_HEARTBEAT_INTERVAL * STOP_HEARTBEATS),
        )
        .await;
        tracing::info!(event = "closing");
        self.node.set_phase(Phase::Closing);
        let closing_time = grace.mul_f64(END_FRACTION - CLOSING_FRACTION);
        let answer_time = LAST_ANSWERS_TIME.min(closing_time);
        if timeout(closing_time.saturating_sub(answer_time), &mut self.front).await.is_ok() {
            tracing::info!(event = "stopped");
            return;
        }
        self.node.set_phase(Phase::Ending);
        // Responses still open after this are cut off when the process ends.
        if timeout(answer_time, &mut self.front).await.is_err() {
            let connections = self.node.metrics.connections.get();
            let requests = self.node.open_requests.log_cut(self.node.now());
            tracing::warn!(event = "cut_at_end", connections, requests);
        }
        tracing::info!(event = "stopped");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.front.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Opens the sockets for heartbeats, by UDP, and for forwarded requests, by TCP, at the same port.
async fn bind_for_peers(address: SocketAddr) -> anyhow::Result<(Peers, TcpListener)> {
    let mut attempts = 1;
    loop {
        let peers = Peers::bind(address).await?;
        match intake::bind(peers.address()?) {
            Ok(listener) => return Ok((peers, listener)),
            // The port that was drawn for one protocol may be in use for the other.
            Err(_) if address.port() == 0 && attempts < MAX_PORT_DRAWS => attempts += 1,
            Err(error) => return Err(error),
        }
    }
}

async fn send_heartbeats(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send_heartbeats(&node).await;
}

async fn receive(node: Arc<Node>, peers: Arc<Peers>) {
    peers.receive(&node).await;
}

async fn send_outbox(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send_outbox(&node).await;
}

async fn send_placements(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send_placements(&node).await;
}

async fn forward_placements(node: Arc<Node>, peers: Arc<Peers>) {
    peers.forward_placements(&node).await;
}

async fn send_streams(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send_streams(&node).await;
}

async fn send_failures(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send_failures(&node).await;
}
