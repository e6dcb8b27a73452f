//! Classes of generation tasks.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Expected properties of one kind of generation.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskClass {
    /// Whether responses are long; long and short generations queue separately.
    pub long: bool,
    /// Maximum length of a response, in tokens.
    pub max_tokens: u64,
    /// Deadline of a request that sets none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
}
