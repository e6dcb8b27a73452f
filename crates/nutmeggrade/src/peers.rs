//! Heartbeats between instances over nng.
//!
//! Each instance publishes on one socket and subscribes to every peer on another. Publishing never
//! waits for a slow or dead peer, and nng connects again by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{
    LocalAddr, Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendTimeout,
};
use nng::{Dialer, Listener, Protocol, Socket, SocketAddr as NngAddr};
use nutmeggrade_core::peer::{Beacon, Entry, MAX_MESSAGE, open, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;

use crate::node::Node;
use crate::tables::lock;

const SEND_WAIT: Duration = Duration::from_millis(100);
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// The nng sockets of an instance.
#[derive(Debug)]
pub struct Peers {
    out: Socket,
    inward: Socket,
    listener: Listener,
    dialers: Mutex<BTreeMap<InstanceId, Dialer>>,
    key: [u8; 32],
}

impl Peers {
    /// Listens for subscribers.
    pub fn new(address: SocketAddr, key: &Secret) -> anyhow::Result<Self> {
        let out = Socket::new(Protocol::Pub0).context("open publisher")?;
        out.set_opt::<SendTimeout>(Some(SEND_WAIT)).context("send timeout")?;
        let listener = Listener::new(&out, &format!("tcp://{address}"))
            .with_context(|| format!("listen for peers on {address}"))?;
        let inward = Socket::new(Protocol::Sub0).context("open subscriber")?;
        inward.set_opt::<Subscribe>(Vec::new()).context("subscribe")?;
        inward.set_opt::<RecvMaxSize>(MAX_MESSAGE).context("message limit")?;
        inward.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN)).context("reconnect")?;
        inward.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)).context("reconnect")?;
        let dialers = Mutex::new(BTreeMap::new());
        Ok(Self { out, inward, listener, dialers, key: key.key("peer messages") })
    }

    /// Returns the address that peers subscribe at.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        let mut address = match self.listener.get_opt::<LocalAddr>().context("peer address")? {
            NngAddr::Inet(address) => SocketAddr::V4(address),
            NngAddr::Inet6(address) => SocketAddr::V6(address),
            other => anyhow::bail!("peer address {other:?} is not ip:port"),
        };
        // The library hands the port over in the network's byte order.
        address.set_port(u16::from_be(address.port()));
        Ok(address)
    }

    /// Subscribes to a peer, and drops the subscription to its earlier life.
    pub fn subscribe(&self, entry: &Entry) -> anyhow::Result<()> {
        let url = format!("tcp://{}", entry.peer_address);
        let dialer = Dialer::new(&self.inward, &url, true).context("dial peer")?;
        if let Some(old) = lock(&self.dialers).insert(entry.instance.clone(), dialer) {
            old.close();
        }
        Ok(())
    }

    /// Drops the subscription to a peer.
    pub fn unsubscribe(&self, instance: &InstanceId) {
        if let Some(old) = lock(&self.dialers).remove(instance) {
            old.close();
        }
    }

    /// Sends a heartbeat to every subscriber.
    pub fn publish(&self, beacon: &Beacon) -> anyhow::Result<()> {
        let frame = seal(beacon, &self.key)?;
        self.out.send(frame.as_slice()).map_err(|(_, e)| e).context("publish")
    }

    /// Receives heartbeats for as long as the socket is open; runs on a thread of its own.
    pub fn receive<P: Platform>(&self, node: &Arc<Node<P>>) {
        while let Ok(message) = self.inward.recv() {
            match open::<Beacon>(&message, &self.key) {
                Ok(beacon) => take(node, &beacon),
                Err(reason) => {
                    let reason = reason.to_string();
                    node.metrics.dropped.with_label_values(&[reason.as_str()]).inc();
                }
            }
        }
    }

    /// Closes both sockets.
    pub fn close(&self) {
        self.out.close();
        self.inward.close();
    }
}

fn take<P: Platform>(node: &Node<P>, beacon: &Beacon) {
    let now = node.now();
    let fresh = lock(&node.tables.members).hear(beacon, now);
    if fresh {
        lock(&node.tables.fence).hear(now);
        lock(&node.tables.suspects).hear(&beacon.entry.instance, &beacon.suspects, now);
        lock(&node.tables.orphans).hear(&beacon.resumed);
    }
}
