//! Registration entries of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{DomainId, EndpointId, ServiceId, VersionId};

/// Registration entry of an endpoint's process.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The endpoint; usually a new id at each start.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it has announced its shutdown.
    pub leaving: bool,
    /// Remaining cold start time, counted from when the endpoint reported it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_left: Duration,
    /// Version of its software, if reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionId>,
    /// Start time in Unix milliseconds; distinguishes restarts under the same id.
    pub born: u64,
}

impl EndpointInfo {
    /// Returns the software version for logs.
    pub fn version_name(&self) -> &str {
        self.version.as_ref().map_or("-", VersionId::as_str)
    }
}
