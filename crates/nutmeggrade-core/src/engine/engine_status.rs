//! Status of an engine, as returned by its load endpoint.

use serde::{Deserialize, Serialize};

use super::LoadReport;

/// An engine's load and whether it is shutting down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The load report.
    #[serde(flatten)]
    pub load: LoadReport,
    /// Whether the engine is shutting down; false if it does not report this.
    #[serde(default)]
    pub leaving: bool,
}
