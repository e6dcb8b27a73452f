//! What an instance that reads the store hands on at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FleetBeacon;
use crate::id::{EndpointId, InstanceId};
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
    /// The sender.
    pub instance: InstanceId,
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

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A heartbeat.
    Beacon(FleetBeacon),
    /// Changes of endpoints.
    News(FleetNews),
    /// What the sender has just placed.
    Placed(FleetPlaced),
    /// Endpoints that told the sender themselves that they leave.
    Leaving(Vec<EndpointId>),
}
