//! What an instance that reads the store hands on at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Contacts, FleetBeacon};
use crate::id::{DomainId, EndpointId, InstanceId};
use crate::rollout::{RolloutNotice, RolloutReport};
use crate::routing::{EndpointInfo, Placed};

/// One endpoint's new entry, or the news that it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// The endpoint.
    pub id: EndpointId,
    /// Its entry; absent once it is gone or can't be read.
    pub info: Option<EndpointInfo>,
}

/// All changes of endpoints between two revisions of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetNews {
    /// Revision up to which a receiver must have read for the changes to be complete.
    pub since: u64,
    /// Revision that the changes lead to.
    pub revision: u64,
    /// Whether entries that are gone may only have lapsed with the store.
    pub lapses: bool,
    /// The changes, in order.
    pub changes: Vec<EndpointNews>,
}

/// What the sender has at some endpoints, as of now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlaced {
    /// The sender.
    pub instance: InstanceId,
    /// All that it has at each of these endpoints; nothing at those with zeros.
    pub placed: BTreeMap<EndpointId, Placed>,
}

/// Tells requests with the same content apart from others, whoever sends them.
pub type Fingerprint = [u8; 16];

/// An endpoint's life that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashed {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When that life of the endpoint began, in Unix milliseconds.
    pub born: u64,
}

/// Answers of endpoints that the sender counted since it last told of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOutcomes {
    /// The sender's failure domain.
    pub domain: DomainId,
    /// Failures and answers of each endpoint, the failures counted among the answers.
    pub answers: BTreeMap<EndpointId, (u32, u32)>,
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A heartbeat.
    Beacon(FleetBeacon),
    /// Changes of endpoints.
    News(FleetNews),
    /// What instances have just placed. It is forwarded together with what others have.
    Placed(Vec<FleetPlaced>),
    /// The same where the sender begins or ends to copy a generation. It is forwarded at once, as instances
    /// take turns by it.
    Moving(FleetPlaced),
    /// An endpoint died under a request of the sender.
    Crashed(Crashed),
    /// Endpoints that told the sender themselves that they leave.
    Leaving(Vec<EndpointId>),
    /// Endpoints at whose address nobody listened any more when the sender connected.
    Gone(Vec<EndpointId>),
    /// Endpoints failed requests of the sender.
    Outcomes(FleetOutcomes),
    /// A roll-out's phase has changed.
    Rollout(RolloutNotice),
    /// What the sender counted of a roll-out, for those who judge it.
    RolloutReport(RolloutReport),
    /// Where heartbeats of other instances go, for a newcomer that knows few.
    Met(Contacts),
    /// A message that the receiver hands on to a part of its own failure domain.
    HandOn(Box<Self>, Share),
}

/// One of several equal parts of the instances of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share {
    /// Which part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub of: u32,
}

impl FleetMessage {
    /// Returns the name used in logs and metrics; a message that is handed on counts as what it holds.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Beacon(_) => "beacon",
            Self::News(_) => "news",
            Self::Placed(_) => "placed",
            Self::Moving(_) => "moving",
            Self::Crashed(_) => "crashed",
            Self::Leaving(_) => "leaving",
            Self::Gone(_) => "gone",
            Self::Outcomes(_) => "outcomes",
            Self::Rollout(_) => "rollout",
            Self::RolloutReport(_) => "rollout_report",
            Self::Met(_) => "met",
            Self::HandOn(message, _) => message.name(),
        }
    }
}
