//! Configuration of services.

use std::time::Duration;

use super::EngineSpec;
use crate::id::ServiceId;

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of an endpoint's health check; empty if there is none.
    pub health: String,
    /// Maximum number of connections that one endpoint accepts in total.
    pub connections: u32,
    /// Duration of an endpoint's cold start.
    pub cold_time: Duration,
    /// Maximum requests per second of a cold endpoint; 0 if unlimited.
    pub cold_rate: f64,
    /// Engine properties, if the service's endpoints are model engines.
    pub engine: Option<EngineSpec>,
}
