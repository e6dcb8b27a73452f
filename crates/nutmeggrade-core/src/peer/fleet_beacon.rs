//! What an instance that serves routes tells its peers several times a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, EndpointId, InstanceId};
use crate::rollout::RolloutNotice;
use crate::routing::Placed;

/// Where an instance is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its failure domain.
    pub domain: DomainId,
    /// Where clients connect.
    pub client: SocketAddr,
    /// Where heartbeats go.
    pub beacon: SocketAddr,
    /// Where peers ask for what they can't read from the platform.
    pub control: SocketAddr,
}

/// Where heartbeats of instances go, by failure domain.
pub type Contacts = BTreeMap<DomainId, Vec<SocketAddr>>;

/// Where the sender and a few others are reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Where the sender is reached.
    pub seat: Seat,
    /// Where heartbeats of a few others go that the sender heard lately.
    pub others: Contacts,
}

/// Heartbeats after a start that all carry an introduction, five seconds' worth.
const FIRST: u64 = 20;
/// Part of the later heartbeats that carry an introduction. Which ones is drawn: peers get heartbeats in
/// turns, and with every fifth a peer whose turn comes every fifth or tenth time might never get one.
const INTRODUCED: f64 = 0.2;

/// Revisions of the platform's store that an instance has read, one for each kind of object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revisions {
    /// Of the configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Of the endpoints.
    #[serde(rename = "e")]
    pub endpoints: u64,
    /// Of the failure domains that are out.
    #[serde(rename = "o")]
    pub out: u64,
    /// Of the roll-outs.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub rollouts: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde hands a reference over")]
const fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// Heartbeat: that an instance lives, what it knows and what it has placed where.
///
/// Fields go by one letter. Each instance of a large fleet gets some seventy heartbeats a second, and their
/// names were a third of the bytes of one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetBeacon {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Distinguishes two lives of an instance with the same name; higher is newer.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Counts the sender's heartbeats; an older or repeated one is dropped.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Where the sender and others are reached; now and then, since peers mostly know it.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub intro: Option<Introduction>,
    /// Whether the sender takes no new clients.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the store answers the sender.
    #[serde(rename = "r")]
    pub reads: bool,
    /// What the sender has read.
    #[serde(rename = "v")]
    pub revisions: Revisions,
    /// What the sender has placed at each endpoint.
    #[serde(rename = "p")]
    pub placed: BTreeMap<EndpointId, Placed>,
    /// Roll-outs that the sender knows.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
}

impl FleetBeacon {
    /// Says whether the heartbeat of this number carries an introduction: those of the first seconds
    /// do, and some after them for peers that missed it. `lot` is drawn from 0 to 1.
    pub fn introduces(sequence: u64, lot: f64) -> bool {
        sequence <= FIRST || lot < INTRODUCED
    }
}
