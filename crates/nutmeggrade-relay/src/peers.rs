//! Heartbeats between instances.
//!
//! Single datagrams: a lost one is made good by the next, nothing waits for a slow peer, and there
//! is no connection that can go silent.

mod inbox;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::peer::{
    DomainPart, FleetBeacon, FleetMessage, FleetOutcomes, InstanceLoad, Introduction, open, seal,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{Audience, Forwarders, PERIOD};
use nutmeggrade_state::forward_queue::ForwardQueue;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use self::inbox::{count_in, take_message};
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Least time between two messages of what is placed; changes in between are gathered. It is a tenth
/// of the time that an engine needs to read a prompt, so that few choices are made without knowing of
/// each other.
const GATHER: Duration = Duration::from_millis(15);
/// Least time between two messages of endpoints that fail.
const GATHER_FAILURES: Duration = Duration::from_millis(100);
/// Pause for each datagram in which this instance forwards what others have placed; changes that come
/// meanwhile are forwarded together. It bounds the datagrams a second, on which an instance of a large
/// fleet would spend most of its processor time.
const FORWARD_PAUSE: Duration = Duration::from_millis(1);
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
    /// What waits to be forwarded; never locked together with the node's tables.
    queue: Mutex<ForwardQueue>,
    forwards: Notify,
}

impl Peers {
    /// Opens the socket.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.with_context(|| format!("bind heartbeats on {address}"))?;
        let key = Secret::new(CHECK).key("heartbeats");
        Ok(Self {
            socket,
            key,
            sequence: AtomicU64::new(1),
            queue: Mutex::new(ForwardQueue::new()),
            forwards: Notify::new(),
        })
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
            tokio::select! {
                () = sleep(wait) => {}
                () = node.announce.notified() => self.announce(node).await,
            }
        }
    }

    /// Tells all neighbours at once what this instance has read, so that they ask it.
    async fn announce(&self, node: &Arc<Node>) {
        let neighbours = {
            let fleet = &lock(&node.tables).fleet;
            // The next heartbeat of such an instance goes to everybody anyway.
            if fleet.stands_by(node.now()) {
                return;
            }
            fleet.neighbours()
        };
        self.send_to(node, &FleetMessage::Beacon(self.beacon(node)), &neighbours).await;
    }

    /// Sends one heartbeat.
    pub async fn send_one(&self, node: &Arc<Node>) {
        let message = FleetMessage::Beacon(self.beacon(node));
        let stands_by = lock(&node.tables).fleet.stands_by(node.now());
        // Whoever reads the store for all has to be heard by all, and its silence noticed soon: those
        // who don't hear it take its place.
        if stands_by {
            self.send_to_all(node, message).await;
        } else {
            let targets = lock(&node.tables).fleet.targets();
            self.send_to(node, &message, &targets).await;
        }
    }

    /// Hands on changes of endpoints that this instance has read for all.
    pub async fn hand_on(&self, node: &Arc<Node>) {
        let Some(mut news) = node.outgoing_news() else { return };
        while let Some(message) = news.recv().await {
            self.send_to_all(node, message).await;
        }
    }

    /// Tells the peers what this instance has placed, soon after each change.
    pub async fn tell_placed(&self, node: &Arc<Node>) {
        loop {
            node.placed.notified().await;
            let changes = lock(&node.tables).dispatcher.book.take_changes();
            if changes.placed.is_empty() {
                continue;
            }
            let instance = node.settings().instance.clone();
            let placed = InstanceLoad { instance, placed: changes.placed };
            let message = if changes.is_urgent {
                FleetMessage::Moving(placed)
            } else {
                FleetMessage::Placed(vec![placed])
            };
            self.send_through(node, message, Forwarders::Common).await;
            sleep(GATHER).await;
        }
    }

    /// Tells the peers of endpoints that failed requests here, soon after each failure.
    pub async fn tell_failures(&self, node: &Arc<Node>) {
        loop {
            node.counted.notified().await;
            let answers = lock(&node.tables).dispatcher.book.take_failures();
            if answers.is_empty() {
                continue;
            }
            let domain = node.seat.domain.clone();
            let message = FleetMessage::Outcomes(FleetOutcomes { domain, answers });
            self.send_to_all(node, message).await;
            sleep(GATHER_FAILURES).await;
        }
    }

    /// Forwards to neighbours what other instances have placed.
    pub async fn forward_placed(&self, node: &Arc<Node>) {
        loop {
            self.forwards.notified().await;
            let messages = lock(&self.queue).take();
            let mut sent = 0;
            for (share, placed) in messages {
                let neighbours = lock(&node.tables).fleet.part_of_neighbours(share);
                self.send_to(node, &FleetMessage::Placed(placed), &neighbours).await;
                sent += u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            }
            sleep(FORWARD_PAUSE.saturating_mul(sent)).await;
        }
    }

    /// Tells a newcomer whom this instance knows.
    async fn welcome(&self, node: &Node, message: &FleetMessage) {
        let FleetMessage::Beacon(beacon) = message else { return };
        let welcome = lock(&node.tables).fleet.welcome(beacon);
        if let Some((newcomer, others)) = welcome {
            self.send_to(node, &FleetMessage::Met(others), &[newcomer]).await;
        }
    }

    /// Sends a message to every peer: to some by itself, to the others by one of them.
    async fn send_to_all(&self, node: &Node, message: FleetMessage) {
        self.send_through(node, message, Forwarders::LastHeard).await;
    }

    async fn send_through(&self, node: &Node, message: FleetMessage, forwarders: Forwarders) {
        let audience = lock(&node.tables).fleet.everybody(forwarders, node.now());
        let Audience { direct, relays } = audience;
        self.send_to(node, &message, &direct).await;
        for (relay, share) in relays {
            let message = FleetMessage::HandOn(Box::new(message.clone()), share);
            self.send_to(node, &message, &[relay]).await;
        }
    }

    /// Sends a message to some peers.
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
            // A peer that is gone or cut off shows by its own silence.
            if let Err(error) = self.socket.send_to(&frame, target).await {
                tracing::debug!(event = "heartbeat_unsent", %target, %error);
            }
        }
    }

    /// Queues a message that is forwarded together with others; says whether it did.
    fn queue_forward(&self, share: DomainPart, message: &FleetMessage) -> bool {
        match message {
            FleetMessage::Placed(placed) => {
                if lock(&self.queue).add(share, placed) {
                    self.forwards.notify_one();
                }
                true
            }
            FleetMessage::Moving(placed) => {
                lock(&self.queue).overtake(placed);
                false
            }
            _ => false,
        }
    }

    fn beacon(&self, node: &Node) -> FleetBeacon {
        let now = node.now();
        let tables = lock(&node.tables);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let introduction = FleetBeacon::includes_introduction(sequence, rand::random::<f64>())
            .then(|| Introduction { sender: node.seat.clone(), others: tables.fleet.others(now) });
        FleetBeacon {
            instance: node.settings().instance.clone(),
            incarnation: node.incarnation,
            sequence,
            introduction,
            leaving: node.phase() > Phase::Serving,
            reads: node.follow.is_answered(),
            revisions: node.revisions(),
            placed: tables.dispatcher.book.own().clone(),
            rollouts: tables.rollouts.notices(now),
        }
    }

    /// Takes heartbeats for as long as the process runs.
    pub async fn receive(&self, node: &Arc<Node>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => match open(&buffer[..length], &self.key) {
                    Ok(FleetMessage::HandOn(message, share)) => {
                        count_in(node, &message, length);
                        if !self.queue_forward(share, &message) {
                            let neighbours = lock(&node.tables).fleet.part_of_neighbours(share);
                            self.send_to(node, &message, &neighbours).await;
                        }
                        take_message(node, *message);
                    }
                    Ok(message) => {
                        count_in(node, &message, length);
                        self.welcome(node, &message).await;
                        take_message(node, message);
                    }
                    Err(reason) => tracing::debug!(event = "heartbeat_dropped", %reason),
                },
                // An earlier datagram to a closed port is told this way.
                Err(error) => tracing::debug!(event = "heartbeat_unread", %error),
            }
        }
    }
}
