//! What operators say of a service.

use std::time::Duration;

use super::EngineSpec;
use crate::id::ServiceId;

/// What operators say of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Path at which an endpoint says whether it is well; empty if there is none.
    pub health: String,
    /// Connections that one endpoint accepts from everybody together.
    pub connections: u32,
    /// How long an endpoint stays cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold endpoint bears; 0 if nothing is bounded.
    pub cold_rate: f64,
    /// Set if its endpoints are model engines.
    pub engine: Option<EngineSpec>,
}
