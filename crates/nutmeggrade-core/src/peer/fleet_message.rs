//! Messages between instances that serve routes, and updates that store readers forward to peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Contacts, EndpointCrash, EndpointUpdateBatch, FleetBeacon, PaceReport, Refutation,
    StreamVersion, WaitingReport,
};
use crate::id::{DomainId, EndpointId, InstanceId};
use crate::rollout::{RolloutNotice, RolloutReport};
use crate::routing::{PlacedLoad, RateLimit};

/// The sender's current load at some endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// The sender.
    pub instance: InstanceId,
    /// The sender's total load at each of these endpoints; zeros if it has none.
    pub placed: BTreeMap<EndpointId, PlacedLoad>,
    /// The sender's waiting requests; empty if this message carries no report of them.
    #[serde(rename = "b", default, skip_serializing_if = "WaitingReport::is_empty")]
    pub waiting: WaitingReport,
}

impl InstanceLoad {
    /// Creates a message about the sender's load without a report of waiting requests.
    pub fn new(instance: InstanceId, placed: BTreeMap<EndpointId, PlacedLoad>) -> Self {
        Self { instance, placed, waiting: WaitingReport::default() }
    }

    /// Adds a report of the sender's waiting requests.
    #[must_use]
    pub fn with_waiting(self, waiting: WaitingReport) -> Self {
        Self { waiting, ..self }
    }
}

/// Fingerprint of a request's content, independent of the sender.
pub type Fingerprint = [u8; 16];

/// Outcomes of requests, by endpoint, since the sender's last such message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOutcomes {
    /// The sender's failure domain.
    pub domain: DomainId,
    /// Number of failures and of all outcomes, failures included, for each endpoint.
    pub answers: BTreeMap<EndpointId, (u32, u32)>,
}

/// Rate limits that endpoints state; `None` for an endpoint that has withdrawn its limit.
pub type RateLimits = BTreeMap<EndpointId, Option<RateLimit>>;

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A heartbeat.
    Beacon(Box<FleetBeacon>),
    /// Changes of endpoints.
    News(EndpointUpdateBatch),
    /// Load that instances have just placed; forwarded in batches with that of other instances.
    Placed(Vec<InstanceLoad>),
    /// Load of a sender that starts or finishes copying a generation; forwarded immediately,
    /// because instances use it to take turns in copying.
    Moving(InstanceLoad),
    /// An endpoint crashed while running a request of the sender.
    Crashed(EndpointCrash),
    /// Suspects that the sender knows not to crash endpoints.
    Refuted(Vec<Refutation>),
    /// Endpoints that announced to the sender that they are shutting down.
    Leaving(Vec<EndpointId>),
    /// Endpoints that refused the sender's connection because nothing listens at their address.
    Gone(Vec<EndpointId>),
    /// Endpoints that have stopped sending to the sender and keep its connections open.
    Stalled(Vec<EndpointId>),
    /// Outcomes of the sender's requests at endpoints.
    Outcomes(FleetOutcomes),
    /// Rate limits that the sender received from endpoints.
    RateLimits(RateLimits),
    /// A change of a rollout's phase.
    Rollout(RolloutNotice),
    /// The sender's counts of a rollout, for the instances that evaluate it.
    RolloutReport(RolloutReport),
    /// Versions at which streams began, for the instances that know of them.
    Streams(Vec<StreamVersion>),
    /// Estimates of endpoints' paces that changed.
    Paces(Vec<PaceReport>),
    /// Heartbeat addresses of other instances, for a newly started instance.
    Met(Contacts),
    /// A message that the receiver forwards to a part of its own failure domain.
    HandOn(Box<Self>, DomainPart),
}

/// One of several equal parts of a failure domain's instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DomainPart {
    /// Index of the part, from 0.
    pub part: u32,
    /// Number of parts.
    pub of: u32,
}

impl FleetMessage {
    /// Returns the name used in logs and metrics; a forwarded message has its inner message's name.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Beacon(_) => "beacon",
            Self::News(_) => "news",
            Self::Placed(_) => "placed",
            Self::Moving(_) => "moving",
            Self::Crashed(_) => "crashed",
            Self::Refuted(_) => "refuted",
            Self::Leaving(_) => "leaving",
            Self::Gone(_) => "gone",
            Self::Stalled(_) => "stalled",
            Self::Outcomes(_) => "outcomes",
            Self::RateLimits(_) => "rate_limits",
            Self::Rollout(_) => "rollout",
            Self::RolloutReport(_) => "rollout_report",
            Self::Streams(_) => "streams",
            Self::Paces(_) => "paces",
            Self::Met(_) => "met",
            Self::HandOn(message, _) => message.name(),
        }
    }
}
