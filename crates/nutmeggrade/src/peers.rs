//! Heartbeats between instances over nng.
//!
//! Each instance publishes on one socket and subscribes to every peer on another. Publishing never
//! waits for a slow or dead peer, and nng connects again by itself.

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
use nutmeggrade_core::peer::{Beacon, Entry, EnvelopeError, MAX_FRAME_BYTES, open, seal};
use nutmeggrade_core::prelude::*;

use crate::tables::lock;

/// Most subscribers: a few times the instances that a full mesh is made for.
const MAX_SUBSCRIBERS: usize = 256;
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
    subscribers: Arc<Mutex<BTreeSet<Pipe>>>,
    key: [u8; 32],
}

impl Peers {
    /// Listens for subscribers.
    pub fn new(address: SocketAddr, key: &Secret) -> anyhow::Result<Self> {
        let out = Socket::new(Protocol::Pub0).context("open publisher")?;
        out.set_opt::<SendTimeout>(Some(SEND_WAIT)).context("send timeout")?;
        // Subscribers send nothing, but nng reads what comes, and without a limit takes memory for a
        // message of any size that a stranger announces: one connection could take it all.
        out.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).context("message limit")?;
        let subscribers = Arc::new(Mutex::new(BTreeSet::new()));
        let seen = Arc::clone(&subscribers);
        out.pipe_notify(move |pipe, event| bound(&seen, pipe, event))
            .context("follow subscribers")?;
        let listener = Listener::new(&out, &format!("tcp://{address}"))
            .with_context(|| format!("listen for peers on {address}"))?;
        let inward = Socket::new(Protocol::Sub0).context("open subscriber")?;
        inward.set_opt::<Subscribe>(Vec::new()).context("subscribe")?;
        inward.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).context("message limit")?;
        inward.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN)).context("reconnect")?;
        inward.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)).context("reconnect")?;
        let dialers = Mutex::new(BTreeMap::new());
        let key = key.key("peer messages");
        Ok(Self { out, inward, listener, dialers, subscribers, key })
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

    /// Sends a heartbeat to every subscriber; returns the bytes to all of them.
    pub fn publish(&self, beacon: &Beacon) -> anyhow::Result<u64> {
        let frame = seal(beacon, &self.key)?;
        self.out.send(frame.as_slice()).map_err(|(_, e)| e).context("publish")?;
        Ok((frame.len() * lock(&self.subscribers).len()) as u64)
    }

    /// Waits for the next message and returns its size and its heartbeat; `None` once the sockets are
    /// closed. Blocks its thread.
    pub fn next(&self) -> Option<(usize, Result<Beacon, EnvelopeError>)> {
        let message = self.inward.recv().ok()?;
        Some((message.len(), open::<Beacon>(&message, &self.key)))
    }

    /// Closes both sockets.
    pub fn close(&self) {
        self.out.close();
        self.inward.close();
    }
}

/// Closes connections beyond the limit. Anyone who reaches the port may subscribe, and each
/// subscriber costs a descriptor and buffers that callers' connections then lack.
fn bound(subscribers: &Mutex<BTreeSet<Pipe>>, pipe: Pipe, event: PipeEvent) {
    match event {
        PipeEvent::AddPre => {
            let full = {
                let mut subscribers = lock(subscribers);
                let full = subscribers.len() >= MAX_SUBSCRIBERS;
                if !full {
                    subscribers.insert(pipe);
                }
                full
            };
            if full {
                pipe.close();
            }
        }
        PipeEvent::RemovePost => {
            lock(subscribers).remove(&pipe);
        }
        _ => {}
    }
}
