//! Classes of operations of plain services.

use serde::{Deserialize, Serialize};

/// Properties of one operation of a plain service.
///
/// Whether a call may be repeated is configured here and never taken from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationClass {
    /// Whether the operation may run more than once.
    pub idempotent: bool,
}
