//! Heartbeats between instances that serve routes, sent several times a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{PartCrash, SharedCrash, WaitingReport};
use crate::id::{DomainId, EndpointId, InstanceId, ServiceId};
use crate::rollout::RolloutNotice;
use crate::routing::PlacedLoad;

/// Failure domain and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceAddresses {
    /// The instance's failure domain.
    pub domain: DomainId,
    /// Address that clients connect to.
    pub client: SocketAddr,
    /// Address that receives heartbeats, by UDP, and forwarded requests, by TCP.
    pub beacon: SocketAddr,
    /// Address where peers fetch state that they can't read from the platform.
    pub control: SocketAddr,
}

/// Heartbeat addresses of instances, by failure domain.
pub type Contacts = BTreeMap<DomainId, Vec<SocketAddr>>;

/// Addresses of the sender and of a few other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The sender's addresses.
    #[serde(rename = "seat")]
    pub sender: InstanceAddresses,
    /// Heartbeat addresses of a few other instances that the sender heard from recently.
    #[serde(rename = "others")]
    pub contacts: Contacts,
}

/// Number of heartbeats after a start that all carry an introduction; five seconds' worth.
const INITIAL_INTRODUCTIONS: u64 = 20;
/// Probability that a later heartbeat carries an introduction. The choice is random because peers
/// receive heartbeats in rotation: if every fifth heartbeat carried an introduction, a peer that
/// receives every fifth or tenth might never get one.
const INTRODUCTION_PROBABILITY: f64 = 0.2;

/// Revisions of the platform's store that an instance has read, by type of object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision of the endpoints.
    #[serde(rename = "e")]
    pub endpoints: u64,
    /// Revision of the set of failure domains out of service.
    #[serde(rename = "o")]
    pub out: u64,
    /// Revision of the rollouts.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub rollouts: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// Heartbeat of an instance, with the revisions that it has read and its load at each endpoint.
///
/// Fields are serialized under one-letter names. Each instance of a large fleet receives about
/// seventy heartbeats a second, and full names were a third of their size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetBeacon {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Distinguishes restarts of an instance under the same name; higher is newer.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat; receivers drop older and repeated ones.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Addresses of the sender and others; sent occasionally, as peers usually have them.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub introduction: Option<Introduction>,
    /// Whether the sender accepts no new clients.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the sender can read the platform's store.
    #[serde(rename = "r")]
    pub reads: bool,
    /// Services whose endpoints the sender can't connect to while its peers may.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<ServiceId>,
    /// Revisions that the sender has read.
    #[serde(rename = "v")]
    pub revisions: Revisions,
    /// The sender's load at each endpoint.
    #[serde(rename = "p")]
    pub placed: BTreeMap<EndpointId, PlacedLoad>,
    /// Rollouts in the sender's state.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
    /// Some of the crashes that count against requests which may soon be blocked or are.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<SharedCrash>,
    /// The same of crashes that count against prompt parts.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub part_crashes: Vec<PartCrash>,
    /// Peers that the sender has recently heard from, in a large fleet.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<HeardPeer>,
    /// The sender's waiting requests; empty if this heartbeat carries no report of them.
    #[serde(rename = "b", default, skip_serializing_if = "WaitingReport::is_empty")]
    pub waiting: WaitingReport,
}

/// Key of an instance's incarnation and the sequence number of its newest known heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardPeer(pub u64, pub u64);

impl FleetBeacon {
    /// Returns whether the heartbeat with this sequence number carries an introduction: those of
    /// the first seconds do, and some later ones for peers that missed it. `draw` is a random
    /// number between 0 and 1.
    pub fn includes_introduction(sequence: u64, draw: f64) -> bool {
        sequence <= INITIAL_INTRODUCTIONS || draw < INTRODUCTION_PROBABILITY
    }
}
