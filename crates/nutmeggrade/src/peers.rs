//! Heartbeats between instances over nng.
//!
//! Each instance publishes on one socket and subscribes to every peer on another. Publishing never
//! blocks on a slow or dead peer, and nng reconnects automatically.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{
    LocalAddr, Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendTimeout,
};
use nng::{Dialer, Listener, Pipe, PipeEvent, Protocol, Socket, SocketAddr as NngAddr};
use nutmeggrade_core::peer::{Beacon, EnvelopeError, InstanceEntry, MAX_FRAME_BYTES, open, seal};
use nutmeggrade_core::prelude::*;

use crate::tables::lock;

/// Maximum number of subscribers: a few times the instances that a full mesh is designed for.
const MAX_SUBSCRIBERS: usize = 256;
const SEND_TIMEOUT: Duration = Duration::from_millis(100);
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// The nng sockets of an instance.
#[derive(Debug)]
pub struct Peers {
    publisher: Socket,
    subscriber: Socket,
    listener: Listener,
    dialers: Mutex<BTreeMap<InstanceId, Dialer>>,
    subscribers: Arc<Mutex<BTreeSet<Pipe>>>,
    key: [u8; 32],
}

impl Peers {
    /// Opens the sockets and listens for subscribers.
    pub fn new(address: SocketAddr, key: &Secret) -> anyhow::Result<Self> {
        let publisher = Socket::new(Protocol::Pub0).context("open publisher")?;
        publisher.set_opt::<SendTimeout>(Some(SEND_TIMEOUT)).context("set send timeout")?;
        // Subscribers send nothing, but nng reads whatever arrives, and without a limit allocates
        // the size that a message announces: one unauthenticated connection could use up all
        // memory.
        publisher.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).context("set message size limit")?;
        let subscribers = Arc::new(Mutex::new(BTreeSet::new()));
        let connected = Arc::clone(&subscribers);
        publisher
            .pipe_notify(move |pipe, event| limit_subscribers(&connected, pipe, event))
            .context("watch subscribers")?;
        let listener = Listener::new(&publisher, &format!("tcp://{address}"))
            .with_context(|| format!("listen for peers on {address}"))?;
        let subscriber = Socket::new(Protocol::Sub0).context("open subscriber")?;
        subscriber.set_opt::<Subscribe>(Vec::new()).context("subscribe")?;
        subscriber.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).context("set message size limit")?;
        subscriber
            .set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))
            .context("set reconnect delay")?;
        subscriber
            .set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))
            .context("set reconnect delay")?;
        let dialers = Mutex::new(BTreeMap::new());
        let key = key.key("peer messages");
        Ok(Self { publisher, subscriber, listener, dialers, subscribers, key })
    }

    /// Returns the address at which peers subscribe.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        let mut address = match self.listener.get_opt::<LocalAddr>().context("read peer address")? {
            NngAddr::Inet(address) => SocketAddr::V4(address),
            NngAddr::Inet6(address) => SocketAddr::V6(address),
            other => anyhow::bail!("peer address {other:?} is not ip:port"),
        };
        // nng returns the port in network byte order.
        address.set_port(u16::from_be(address.port()));
        Ok(address)
    }

    /// Subscribes to a peer and closes the subscription to its previous incarnation.
    pub fn subscribe(&self, entry: &InstanceEntry) -> anyhow::Result<()> {
        let url = format!("tcp://{}", entry.peer_address);
        let dialer = Dialer::new(&self.subscriber, &url, true).context("dial peer")?;
        if let Some(previous) = lock(&self.dialers).insert(entry.instance.clone(), dialer) {
            previous.close();
        }
        Ok(())
    }

    /// Closes the subscription to a peer.
    pub fn unsubscribe(&self, instance: &InstanceId) {
        if let Some(dialer) = lock(&self.dialers).remove(instance) {
            dialer.close();
        }
    }

    /// Sends a heartbeat to every subscriber; returns the total number of bytes.
    pub fn publish(&self, beacon: &Beacon) -> anyhow::Result<u64> {
        let frame = seal(beacon, &self.key)?;
        self.publisher.send(frame.as_slice()).map_err(|(_, e)| e).context("publish")?;
        Ok((frame.len() * lock(&self.subscribers).len()) as u64)
    }

    /// Waits for the next message and returns its size and its heartbeat; returns `None` after the
    /// sockets are closed. Blocks the thread.
    pub fn next(&self) -> Option<(usize, Result<Beacon, EnvelopeError>)> {
        let message = self.subscriber.recv().ok()?;
        Some((message.len(), open::<Beacon>(&message, &self.key)))
    }

    /// Closes both sockets.
    pub fn close(&self) {
        self.publisher.close();
        self.subscriber.close();
    }
}

/// Closes connections beyond the limit. Subscribers are not authenticated, and each one uses a file
/// descriptor and buffers that callers' connections need.
fn limit_subscribers(subscribers: &Mutex<BTreeSet<Pipe>>, pipe: Pipe, event: PipeEvent) {
    match event {
        PipeEvent::AddPre => {
            let is_full = {
                let mut subscribers = lock(subscribers);
                let is_full = subscribers.len() >= MAX_SUBSCRIBERS;
                if !is_full {
                    subscribers.insert(pipe);
                }
                is_full
            };
            if is_full {
                pipe.close();
            }
        }
        PipeEvent::RemovePost => {
            lock(subscribers).remove(&pipe);
        }
        _ => {}
    }
}
