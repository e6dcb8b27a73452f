//! An endpoint as it registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{DomainId, EndpointId, ServiceId, VersionId};

/// One life of an endpoint as it registers itself.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The endpoint; mostly new at each start.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it has said that it will end.
    pub leaving: bool,
    /// How much longer it stays cold, counted from when it said so.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_left: Duration,
    /// Version of its software, if it says one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionId>,
    /// When it started, in Unix milliseconds; tells two lives under one id apart.
    pub born: u64,
}
