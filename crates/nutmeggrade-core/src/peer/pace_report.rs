//! An instance's estimate of an endpoint's pace.

use serde::{Deserialize, Serialize};

use crate::id::EndpointId;

/// The sender's estimate of the usual time per event at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(EndpointId, u64, u32)", into = "(EndpointId, u64, u32)")]
pub struct PaceReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Microseconds per event, converted to an empty endpoint.
    pub micros: u64,
    /// Number of gaps that the estimate is based on.
    pub gaps: u32,
}

impl From<(EndpointId, u64, u32)> for PaceReport {
    fn from((endpoint, micros, gaps): (EndpointId, u64, u32)) -> Self {
        Self { endpoint, micros, gaps }
    }
}

impl From<PaceReport> for (EndpointId, u64, u32) {
    fn from(report: PaceReport) -> Self {
        (report.endpoint, report.micros, report.gaps)
    }
}
