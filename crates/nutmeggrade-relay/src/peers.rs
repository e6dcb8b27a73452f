//! Messages between instances.
//!
//! Each is a single UDP datagram: a lost one is made up for by the next heartbeat, a slow peer
//! blocks nothing, and there are no connections that can go silent.

mod inbox;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::peer::{
    DomainPart, FleetBeacon, FleetMessage, FleetOutcomes, InstanceLoad, Introduction,
    StreamVersion, open, seal,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{
    BroadcastRecipients, HEARTBEAT_INTERVAL, REMOTE_DIGEST_ENTRIES, RelayOrder,
};
use nutmeggrade_state::forward_queue::ForwardQueue;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use self::inbox::{apply_message, count_received};
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Minimum interval between two messages about placements; changes in between are batched. It is a
/// tenth of the time that an engine needs to read a prompt, so that instances rarely place requests
/// without each other's latest placements.
const PLACEMENTS_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum interval between two messages about failing endpoints.
const FAILURES_INTERVAL: Duration = Duration::from_millis(100);
/// Pause per datagram that forwards other instances' placements; changes that arrive meanwhile are
/// batched. It limits the datagrams per second, which would otherwise take most of an instance's
/// processor time in a large fleet.
const FORWARD_PAUSE_PER_DATAGRAM: Duration = Duration::from_millis(1);
/// Crashes per heartbeat, some 70 bytes each.
const SHARED_CRASHES: usize = 4;
/// Number of peers that know of a stream beside the instance that serves it.
const STREAM_KEEPERS: usize = 2;
/// Minimum interval between two messages about streams. A client takes a stream up some milliseconds
/// after its first event at the earliest.
const STREAMS_INTERVAL: Duration = Duration::from_millis(5);
/// Streams per datagram, some 50 bytes each.
const STREAMS_PER_DATAGRAM: usize = 100;
/// Largest datagram that is received; heartbeats stay far below.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Key of the checksum. The platform gives instances no secret, so the checksum only detects damage
/// and foreign traffic.
const CHECKSUM_KEY: &str = "nutmeggrade fleet heartbeat 1";

/// Sends and receives messages between instances.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    key: [u8; 32],
    sequence: AtomicU64,
    /// Placements to forward; never locked together with the node's tables.
    queue: Mutex<ForwardQueue>,
    forwards_queued: Notify,
}

impl Peers {
    /// Opens the socket.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.with_context(|| format!("bind heartbeats on {address}"))?;
        let key = Secret::new(CHECKSUM_KEY).key("heartbeats");
        Ok(Self {
            socket,
            key,
            sequence: AtomicU64::new(1),
            queue: Mutex::new(ForwardQueue::new()),
            forwards_queued: Notify::new(),
        })
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        self.socket.local_addr().context("heartbeat address")
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn send_heartbeats(&self, node: &Arc<Node>) {
        loop {
            self.send_heartbeat(node).await;
            let wait = HEARTBEAT_INTERVAL.mul_f64(rand::rng().random_range(0.85..1.15));
            tokio::select! {
                () = sleep(wait) => {}
                () = node.heartbeat_due.notified() => self.send_to_neighbours(node).await,
            }
        }
    }

    /// Sends a heartbeat to neighbours, so that they fetch what this instance has read.
    async fn send_to_neighbours(&self, node: &Arc<Node>) {
        let neighbours = {
            let fleet = &mut lock(&node.tables).fleet;
            // Such an instance sends its next heartbeat to all peers anyway.
            if fleet.is_standby(node.now()) {
                return;
            }
            fleet.announcement_targets()
        };
        self.send_to(node, &FleetMessage::Beacon(Box::new(self.beacon(node))), &neighbours).await;
    }

    /// Sends one heartbeat.
    pub async fn send_heartbeat(&self, node: &Arc<Node>) {
        let is_standby = lock(&node.tables).fleet.is_standby(node.now());
        // All peers need the readers' heartbeats and have to detect soon when they stop: a peer
        // that receives none from a reader takes its place.
        if is_standby {
            self.send_heartbeat_to_all(node).await;
            return;
        }
        let mut beacon = self.beacon(node);
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) = {
            let fleet = &mut lock(&node.tables).fleet;
            beacon.heard = fleet.take_digest();
            fleet.targets().into_iter().partition(|target| fleet.is_near(target))
        };
        let mut remote = beacon.clone();
        remote.heard.truncate(REMOTE_DIGEST_ENTRIES);
        self.send_to(node, &FleetMessage::Beacon(Box::new(beacon)), &near).await;
        self.send_to(node, &FleetMessage::Beacon(Box::new(remote)), &far).await;
    }

    /// Sends one heartbeat to all peers.
    pub async fn send_heartbeat_to_all(&self, node: &Arc<Node>) {
        let beacon = Box::new(self.beacon(node));
        self.send_to_all(node, FleetMessage::Beacon(beacon)).await;
    }

    /// Sends the messages of the outbox to all peers.
    pub async fn send_outbox(&self, node: &Arc<Node>) {
        let Some(mut outbox) = node.take_outbox() else { return };
        while let Some(message) = outbox.recv().await {
            self.send_to_all(node, message).await;
        }
    }

    /// Sends this instance's changed placements to the peers, soon after each change, with a report
    /// of its waiting requests if one is due.
    pub async fn send_placements(&self, node: &Arc<Node>) {
        loop {
            node.placed.notified().await;
            let (changes, waiting) = {
                let dispatcher = &mut lock(&node.tables).dispatcher;
                let changes = dispatcher.load_table.take_changes();
                let waiting = dispatcher.order.take_report(!changes.placed.is_empty(), node.now());
                (changes, waiting)
            };
            if changes.placed.is_empty() && waiting.is_empty() {
                continue;
            }
            let instance = node.settings().instance.clone();
            let placed = InstanceLoad::new(instance, changes.placed).with_waiting(waiting);
            let message = if changes.is_urgent {
                FleetMessage::Moving(placed)
            } else {
                FleetMessage::Placed(vec![placed])
            };
            self.send_through(node, message, RelayOrder::Common).await;
            sleep(PLACEMENTS_INTERVAL).await;
        }
    }

    /// Reports endpoints that failed requests to the peers, soon after each failure.
    pub async fn send_failures(&self, node: &Arc<Node>) {
        loop {
            node.failures_counted.notified().await;
            let answers = lock(&node.tables).dispatcher.load_table.take_failures();
            if answers.is_empty() {
                continue;
            }
            let domain = node.own_addresses.domain.clone();
            let message = FleetMessage::Outcomes(FleetOutcomes { domain, answers });
            self.send_to_all(node, message).await;
            sleep(FAILURES_INTERVAL).await;
        }
    }

    /// Tells peers at which versions streams began that clients may take up.
    pub async fn send_streams(&self, node: &Arc<Node>) {
        loop {
            node.streams_begun.notified().await;
            let mut by_peer: BTreeMap<SocketAddr, Vec<StreamVersion>> = BTreeMap::new();
            {
                let tables = &mut *lock(&node.tables);
                for began in tables.streams.take_begun() {
                    let stream = began.stream;
                    for keeper in tables.fleet.stream_keepers(stream, STREAM_KEEPERS, node.now()) {
                        by_peer.entry(keeper.beacon).or_default().push(began.clone());
                    }
                }
            }
            for (peer, streams) in by_peer {
                for batch in streams.chunks(STREAMS_PER_DATAGRAM) {
                    self.send_to(node, &FleetMessage::Streams(batch.to_vec()), &[peer]).await;
                }
            }
            sleep(STREAMS_INTERVAL).await;
        }
    }

    /// Forwards other instances' placements to neighbours.
    pub async fn forward_placements(&self, node: &Arc<Node>) {
        loop {
            self.forwards_queued.notified().await;
            let messages = lock(&self.queue).take();
            let mut sent = 0;
            for (share, placed) in messages {
                let neighbours = lock(&node.tables).fleet.neighbours_in_part(share);
                self.send_to(node, &FleetMessage::Placed(placed), &neighbours).await;
                sent += u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            }
            sleep(FORWARD_PAUSE_PER_DATAGRAM.saturating_mul(sent)).await;
        }
    }

    /// Sends the addresses of known instances to a peer that introduces itself.
    async fn send_contacts(&self, node: &Node, message: &FleetMessage) {
        let FleetMessage::Beacon(beacon) = message else { return };
        let contacts = lock(&node.tables).fleet.contacts_for_newcomer(beacon);
        if let Some((newcomer, contacts)) = contacts {
            self.send_to(node, &FleetMessage::Met(contacts), &[newcomer]).await;
        }
    }

    /// Sends a message to every peer: to some directly, to the others through a forwarding peer.
    async fn send_to_all(&self, node: &Node, message: FleetMessage) {
        self.send_through(node, message, RelayOrder::LastHeard).await;
    }

    async fn send_through(&self, node: &Node, message: FleetMessage, relay_order: RelayOrder) {
        let recipients = lock(&node.tables).fleet.broadcast_recipients(relay_order, node.now());
        let BroadcastRecipients { direct, relays } = recipients;
        self.send_to(node, &message, &direct).await;
        for (relay, share) in relays {
            let message = FleetMessage::HandOn(Box::new(message.clone()), share);
            self.send_to(node, &message, &[relay]).await;
        }
    }

    /// Sends a message to the given addresses.
    pub async fn send_to(&self, node: &Node, message: &FleetMessage, targets: &[SocketAddr]) {
        let frame = match seal(message, &self.key) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::error!(event = "message_unsendable", %error);
                return;
            }
        };
        let sent = (frame.len() * targets.len()) as u64;
        node.metrics.peer_bytes.with_label_values(&[message.name(), "out"]).inc_by(sent);
        for target in targets {
            // An unreachable peer is detected by its missing heartbeats.
            if let Err(error) = self.socket.send_to(&frame, target).await {
                tracing::debug!(event = "heartbeat_unsent", %target, %error);
            }
        }
    }

    /// Queues a message to be forwarded in a batch; returns whether it was queued.
    fn queue_forward(&self, share: DomainPart, message: &FleetMessage) -> bool {
        match message {
            FleetMessage::Placed(placed) => {
                if lock(&self.queue).add(share, placed) {
                    self.forwards_queued.notify_one();
                }
                true
            }
            FleetMessage::Moving(placed) => {
                lock(&self.queue).drop_superseded(placed);
                false
            }
            _ => false,
        }
    }

    fn beacon(&self, node: &Node) -> FleetBeacon {
        let now = node.now();
        let tables = &mut *lock(&node.tables);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let introduction = FleetBeacon::includes_introduction(sequence, rand::random::<f64>())
            .then(|| Introduction {
                sender: node.own_addresses.clone(),
                contacts: tables.fleet.introduced_contacts(now),
            });
        FleetBeacon {
            instance: node.settings().instance.clone(),
            incarnation: node.incarnation,
            sequence,
            introduction,
            leaving: node.phase() > Phase::Serving,
            reads: node.read_state.is_available(),
            unreachable: tables.reach.cut_off_services(),
            revisions: node.revisions(),
            placed: tables.dispatcher.load_table.own_loads().clone(),
            rollouts: tables.rollouts.notices(now),
            crashes: tables.crashes.shared(SHARED_CRASHES, now),
            part_crashes: tables.crashes.shared_parts(SHARED_CRASHES, now),
            heard: Vec::new(),
            waiting: tables.dispatcher.order.take_heartbeat_report(now),
        }
    }

    /// Receives messages for as long as the process runs.
    pub async fn receive(&self, node: &Arc<Node>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => match open(&buffer[..length], &self.key) {
                    Ok(FleetMessage::HandOn(message, share)) => {
                        count_received(node, &message, length);
                        if !self.queue_forward(share, &message) {
                            let neighbours = lock(&node.tables).fleet.neighbours_in_part(share);
                            self.send_to(node, &message, &neighbours).await;
                        }
                        apply_message(node, *message);
                    }
                    Ok(message) => {
                        count_received(node, &message, length);
                        self.send_contacts(node, &message).await;
                        apply_message(node, message);
                    }
                    Err(reason) => tracing::debug!(event = "heartbeat_dropped", %reason),
                },
                // The kernel reports an ICMP error of an earlier datagram to a closed port here.
                Err(error) => tracing::debug!(event = "heartbeat_unread", %error),
            }
        }
    }
}
