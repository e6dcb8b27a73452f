//! State queries to a peer while the platform is unreachable.

use serde::{Deserialize, Serialize};

use super::{Assignment, InstanceEntry};
use crate::config::Configuration;
use crate::endpoint::Endpoint;

/// Path of queries on the admin address.
pub const SYNC_PATH: &str = "/peer/sync";

/// The requested state; separate topics keep each reply below the maximum message size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncTopic {
    /// The configuration in force.
    Config,
    /// Instances and endpoints.
    Fleet,
}

/// A query, authenticated with the peers' key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The requesting instance; the peer adds it to its members.
    pub entry: InstanceEntry,
    /// The requested state.
    pub topic: SyncTopic,
}

/// A reply, authenticated with the peers' key. Replaying an old reply is harmless: a lower version
/// of the configuration is never applied, and an assignment alone grants no rights.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SyncReply {
    /// The configuration in force.
    pub config: Option<Configuration>,
    /// The newest assignment that the peer has.
    pub assignment: Option<Assignment>,
    /// Instances in service.
    pub entries: Vec<InstanceEntry>,
    /// Endpoints from the platform's last list.
    pub endpoints: Vec<Endpoint>,
}
