//! What an instance asks of a peer when it can't ask the platform.

use serde::{Deserialize, Serialize};

use super::{Assignment, Entry};
use crate::config::Configuration;
use crate::endpoint::Endpoint;

/// Path of the question on the admin address.
pub const SYNC_PATH: &str = "/peer/sync";

/// What is asked for; each answer keeps within the limit on a message by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// The configuration in force.
    Config,
    /// Instances and endpoints.
    Fleet,
}

/// A question, authenticated with the peers' key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Who asks; the peer learns of it by this.
    pub entry: Entry,
    /// What is asked for.
    pub topic: Topic,
}

/// An answer, authenticated with the peers' key. An old one that is played again does no harm: a
/// lower version of the configuration is never taken, and an assignment gives no right by itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SyncReply {
    /// The configuration in force.
    pub config: Option<Configuration>,
    /// The newest assignment known.
    pub assignment: Option<Assignment>,
    /// Instances in service.
    pub entries: Vec<Entry>,
    /// Endpoints as last listed.
    pub endpoints: Vec<Endpoint>,
}
