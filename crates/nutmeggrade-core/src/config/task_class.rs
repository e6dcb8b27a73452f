//! Classes of generation tasks.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What is known beforehand about one kind of generation.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskClass {
    /// Whether answers are long, so that they wait apart from short ones.
    pub long: bool,
    /// Most tokens an answer may have.
    pub max_tokens: u64,
    /// Deadline of a request that names none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
}
