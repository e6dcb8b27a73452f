//! Heartbeats between instances.
//!
//! Single datagrams: a lost one is made good by the next, nothing waits for a slow peer, and there
//! is no connection that can go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::peer::{FleetBeacon, open, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_wire::kinds::Kind;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::node::{Node, Phase};
use crate::tables::lock;

/// Time between heartbeats. What peers have placed is a quarter of a second old then, in which all
/// instances of a deployment together place a few requests.
const PERIOD: Duration = Duration::from_millis(250);
/// Peers that a heartbeat goes to. In a larger fleet they take turns, so that the cost of an
/// instance does not grow with the fleet.
const FANOUT: usize = 16;
/// Largest datagram that is read; heartbeats stay far below.
const MAX_DATAGRAM: usize = 8 << 10;
/// Key of the checksum. The platform gives instances no secret, so it guards against damage and
/// foreign traffic only.
const CHECK: &str = "nutmeggrade fleet heartbeat 1";

/// Sends and receives heartbeats.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    key: [u8; 32],
    sequence: AtomicU64,
}

impl Peers {
    /// Opens the socket.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.with_context(|| format!("bind heartbeats on {address}"))?;
        let key = Secret::new(CHECK).key("heartbeats");
        Ok(Self { socket, key, sequence: AtomicU64::new(1) })
    }

    /// Returns where heartbeats come in.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        self.socket.local_addr().context("heartbeat address")
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn send(&self, node: &Arc<Node>) {
        loop {
            self.send_one(node).await;
            let wait = PERIOD.mul_f64(rand::rng().random_range(0.85..1.15));
            sleep(wait).await;
        }
    }

    /// Sends one heartbeat.
    pub async fn send_one(&self, node: &Arc<Node>) {
        let (beacon, targets) = self.beacon(node);
        let frame = match seal(&beacon, &self.key) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::error!(event = "heartbeat_unsendable", %error);
                return;
            }
        };
        for target in targets {
            // A peer that is gone or cut off shows by its own silence.
            if let Err(error) = self.socket.send_to(&frame, target).await {
                tracing::debug!(event = "heartbeat_unsent", %target, %error);
            }
        }
    }

    fn beacon(&self, node: &Arc<Node>) -> (FleetBeacon, Vec<SocketAddr>) {
        let now = node.now();
        let mut tables = lock(&node.tables);
        let others = tables.fleet.others(now);
        let targets = tables.fleet.targets(FANOUT);
        let beacon = FleetBeacon {
            instance: node.settings().instance.clone(),
            incarnation: node.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            seat: node.seat.clone(),
            leaving: node.phase() > Phase::Serving,
            revisions: node.revisions(),
            placed: tables.dispatcher.book.own().clone(),
            others,
        };
        (beacon, targets)
    }

    /// Takes heartbeats for as long as the process runs.
    pub async fn receive(&self, node: &Arc<Node>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => match open::<FleetBeacon>(&buffer[..length], &self.key) {
                    Ok(beacon) => take(node, &beacon),
                    Err(reason) => tracing::debug!(event = "heartbeat_dropped", %reason),
                },
                // An earlier datagram to a closed port is told this way.
                Err(error) => tracing::debug!(event = "heartbeat_unread", %error),
            }
        }
    }
}

fn take(node: &Node, beacon: &FleetBeacon) {
    let now = node.now();
    {
        let mut tables = lock(&node.tables);
        let was_live = tables.fleet.is_live(&beacon.instance, now);
        if !tables.fleet.hear(beacon, now) {
            return;
        }
        tables.dispatcher.book.set_peer(&beacon.instance, &beacon.placed);
        if !was_live {
            tracing::info!(event = "peer_heard", peer = %beacon.instance, domain = %beacon.seat.domain,
                incarnation = beacon.incarnation);
        }
    }
    nudge(node, Kind::Config, beacon.revisions.config);
    nudge(node, Kind::Endpoints, beacon.revisions.endpoints);
    nudge(node, Kind::Evacuations, beacon.revisions.out);
}

/// Wakes the follower of a kind that the peer has read further.
fn nudge(node: &Node, kind: Kind, theirs: u64) {
    let track = node.follow.track(kind);
    if theirs > track.read() {
        track.nudge.notify_one();
    }
}
