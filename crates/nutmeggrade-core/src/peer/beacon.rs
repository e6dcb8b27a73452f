//! Heartbeats that instances send to their peers several times a second.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::Suspect;
use crate::id::{DomainId, EndpointId, GenerationId, InstanceId};

/// Identity and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes restarts of an instance under the same name; higher is newer.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that peers subscribe to.
    pub peer_address: SocketAddr,
    /// Address that operators and health probes connect to.
    pub admin_address: SocketAddr,
}

/// The last heartbeat that an instance received from a peer.
///
/// Serialized as a pair without field names: each heartbeat carries one for every peer, so their
/// total size grows with the square of the number of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Echo {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// The heartbeat's sequence number.
    pub sequence: u64,
}

impl From<(u64, u64)> for Echo {
    fn from((incarnation, sequence): (u64, u64)) -> Self {
        Self { incarnation, sequence }
    }
}

impl From<Echo> for (u64, u64) {
    fn from(echo: Echo) -> Self {
        (echo.incarnation, echo.sequence)
    }
}

/// Interval, in heartbeats, between heartbeats that carry the sender's addresses.
const INTRODUCTION_INTERVAL: u64 = 8;

/// Heartbeat of an instance, with its configuration version and its requests in flight.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sender's addresses; sent periodically, as peers usually have them from the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<InstanceEntry>,
    /// Sequence number of the heartbeat; receivers drop older and repeated ones.
    pub sequence: u64,
    /// Version of the configuration that the sender has in force.
    pub config: u64,
    /// Whether the sender accepts no new callers.
    pub leaving: bool,
    /// Number of the sender's requests in flight, by endpoint.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_flight: BTreeMap<EndpointId, u32>,
    /// Generations that callers recently resumed at the sender.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub resumed: BTreeSet<GenerationId>,
    /// Requests suspected of crashing engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
    /// Time since the sender last received a response from the platform.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "platform_ms", default)]
    pub platform: Option<Duration>,
    /// The last heartbeat that the sender received from each peer. A peer that finds its own here
    /// can tell that this heartbeat was sent after it, regardless of buffering delays.
    #[serde(default)]
    pub echoes: BTreeMap<InstanceId, Echo>,
}

impl Beacon {
    /// Returns whether the heartbeat with this sequence number carries the sender's addresses: the
    /// first does, and every eighth after it for peers that missed it.
    pub const fn includes_introduction(sequence: u64) -> bool {
        sequence % INTRODUCTION_INTERVAL == 1
    }
}
