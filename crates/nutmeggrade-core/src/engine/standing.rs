//! What an engine answers when it is asked how it stands.

use serde::{Deserialize, Serialize};

use super::LoadReport;

/// An engine's load, and whether it is about to go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its load.
    #[serde(flatten)]
    pub load: LoadReport,
    /// Whether it is about to go; engines that don't say stay.
    #[serde(default)]
    pub leaving: bool,
}
