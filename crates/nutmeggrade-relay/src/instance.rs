//! An instance from its first socket to its last answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::peer::InstanceAddresses;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::admin::Admin;
use crate::logs::LogBuffer;
use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{engine_watch, front, rollouts, ticker, watch};

/// Part of the grace after which no new connection is taken: what comes then could not end in time.
const CLOSING: f64 = 0.8;
/// Part of the grace after which the process ends; it would be killed a moment later.
const END: f64 = 0.95;
/// Heartbeats sent in a row to say that this instance leaves; one may be lost.
const FAREWELLS: u32 = 3;
/// Time between them.
const FAREWELL_PAUSE: Duration = Duration::from_millis(40);

/// Where an instance listens; ports that were 0 in its settings are those that were chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Clients.
    pub client: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// The directory of instances.
    pub directory: SocketAddr,
    /// Peers that ask.
    pub control: SocketAddr,
    /// Peers' heartbeats.
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
        let listener = front::bind(settings.client_address)?;
        let peers = Arc::new(Peers::bind(settings.beacon_address).await?);
        let admin = Admin::bind(settings).await?;
        let addresses = Addresses {
            client: listener.local_addr().context("client address")?,
            ready: admin.ready()?,
            directory: admin.directory()?,
            control: admin.control()?,
            beacon: peers.address()?,
            metrics: admin.metrics()?,
        };
        let seat = InstanceAddresses {
            domain: settings.domain.clone(),
            client: addresses.client,
            beacon: addresses.beacon,
            control: addresses.control,
        };
        let node = Arc::new(Node::new(settings, &seat, logs, incarnation)?);
        tracing::info!(event = "started", instance = %settings.instance, domain = %settings.domain,
            clients = %addresses.client, directory = %addresses.directory,
            metrics = %addresses.metrics, incarnation);
        let mut tasks = watch::start(&node);
        tasks.extend(admin.start(&node));
        tasks.push(tokio::spawn(send(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(receive(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(hand_on(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(tell_placed(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(tell_failures(Arc::clone(&node), Arc::clone(&peers))));
        tasks.push(tokio::spawn(forward_placed(Arc::clone(&node), Arc::clone(&peers))));
        tasks.extend(rollouts::start(&node, &peers));
        tasks.push(tokio::spawn(ticker::run(Arc::clone(&node))));
        tasks.push(tokio::spawn(engine_watch::run(Arc::clone(&node))));
        let front = tokio::spawn(front::serve(Arc::clone(&node), listener));
        Ok(Self { node, peers, front, tasks, addresses })
    }

    /// Returns where the instance listens.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the instance's shared state.
    pub(crate) fn node(&self) -> Arc<Node> {
        Arc::clone(&self.node)
    }

    /// Leaves the directory, serves who still comes, and ends when all have their answers.
    ///
    /// Clients keep an address for seconds, and a connection that is closed under a request loses it.
    pub async fn stop(mut self) {
        let grace = self.node.settings().grace;
        tracing::info!(event = "leaving", grace_ms = grace.as_millis());
        self.node.leave(self.node.now().after(grace.mul_f64(END)));
        for _ in 0..FAREWELLS {
            self.peers.send_one(&self.node).await;
            sleep(FAREWELL_PAUSE).await;
        }
        sleep(grace.mul_f64(CLOSING).saturating_sub(FAREWELL_PAUSE * FAREWELLS)).await;
        tracing::info!(event = "closing");
        self.node.set_phase(Phase::Closing);
        // What has not ended by then is cut by the end of the process.
        if timeout(grace.mul_f64(END - CLOSING), &mut self.front).await.is_err() {
            let open = self.node.metrics.connections.get();
            tracing::warn!(event = "cut_at_end", connections = open);
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

async fn send(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send(&node).await;
}

async fn receive(node: Arc<Node>, peers: Arc<Peers>) {
    peers.receive(&node).await;
}

async fn hand_on(node: Arc<Node>, peers: Arc<Peers>) {
    peers.hand_on(&node).await;
}

async fn tell_placed(node: Arc<Node>, peers: Arc<Peers>) {
    peers.tell_placed(&node).await;
}

async fn forward_placed(node: Arc<Node>, peers: Arc<Peers>) {
    peers.forward_placed(&node).await;
}

async fn tell_failures(node: Arc<Node>, peers: Arc<Peers>) {
    peers.tell_failures(&node).await;
}
