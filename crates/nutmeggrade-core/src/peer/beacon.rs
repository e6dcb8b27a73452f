//! What an instance tells its peers several times a second.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::Suspect;
use crate::id::{DomainId, EndpointId, GenerationId, InstanceId};

/// One instance of the system as others may use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes two lives of an instance with the same name; higher is newer.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers subscribe.
    pub peer_address: SocketAddr,
    /// Where operators and probes connect.
    pub admin_address: SocketAddr,
}

/// The last heartbeat that an instance heard of a peer.
///
/// Written as a pair without field names: each heartbeat carries one for every peer, so that their
/// bytes grow with the square of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Echo {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// The heartbeat's number.
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

/// Heartbeats from one that carries the sender's addresses to the next.
const INTRODUCTIONS: u64 = 8;

/// Heartbeat of an instance: that it lives, what it has in force and what it has in flight.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub instance: InstanceId,
    /// The sender's life.
    pub incarnation: u64,
    /// The sender's addresses, now and then; peers mostly know them from the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Entry>,
    /// Counts the sender's beacons; an older or repeated one is dropped.
    pub sequence: u64,
    /// Version of the configuration that the sender has in force.
    pub config: u64,
    /// Whether the sender takes no new callers.
    pub leaving: bool,
    /// Requests that the sender has in flight, by endpoint.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_flight: BTreeMap<EndpointId, u32>,
    /// Generations whose callers resumed here lately.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub resumed: BTreeSet<GenerationId>,
    /// Requests that are suspected of crashing engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
    /// How long ago the sender last heard the platform.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "platform_ms", default)]
    pub platform: Option<Duration>,
    /// What the sender last heard of each peer. A peer that finds its own heartbeat here knows that
    /// this one was sent later, however long it lay in a buffer.
    #[serde(default)]
    pub echoes: BTreeMap<InstanceId, Echo>,
}

impl Beacon {
    /// Says whether the heartbeat of this number carries the sender's addresses: the first one does,
    /// and every eighth after it for peers that missed it.
    pub const fn introduces(sequence: u64) -> bool {
        sequence % INTRODUCTIONS == 1
    }
}
