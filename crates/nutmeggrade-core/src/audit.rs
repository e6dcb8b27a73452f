//! Entries of the audit trail beside the changes themselves.

use serde::{Deserialize, Serialize};

use crate::id::InstanceId;

/// Prefix of the platform keys that hold the entries.
pub const AUDIT_PREFIX: &str = "audit/";

/// What an instance did or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// It wrote a new epoch, in which endpoints may have new owners.
    TookOver,
    /// It refused an operators' call without the token.
    TokenRefused,
    /// It was pushed a configuration older than the one in force and kept the newer one.
    OldConfigRefused,
    /// It was cut off and refused new work.
    WorkRefused,
    /// It sent an order to an endpoint.
    OrderSent,
    /// An endpoint refused an order.
    OrderRefused,
    /// It read back that an endpoint does what was ordered.
    OrderDone,
}

impl AuditEvent {
    /// Returns the name used on the wire and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TookOver => "took_over",
            Self::TokenRefused => "token_refused",
            Self::OldConfigRefused => "old_config_refused",
            Self::WorkRefused => "work_refused",
            Self::OrderSent => "order_sent",
            Self::OrderRefused => "order_refused",
            Self::OrderDone => "order_done",
        }
    }
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The instance that did it.
    pub instance: InstanceId,
    /// Distinguishes two lives of an instance with the same name.
    pub incarnation: u64,
    /// Counts the entries of this life.
    pub number: u64,
    /// Wall time, milliseconds since 1970, for people only.
    pub at_ms: u64,
    /// Version of the configuration in force there.
    pub config: u64,
    /// What it did.
    pub event: AuditEvent,
    /// The numbers, as key=value.
    pub detail: String,
    /// Like events that were left out since the last entry that says the same.
    pub repeats: u64,
}

impl AuditEntry {
    /// Returns the prefix of an instance's entries.
    pub fn prefix(instance: &InstanceId) -> String {
        format!("{AUDIT_PREFIX}{instance}/")
    }

    /// Returns the platform key of an instance's n-th entry; keys sort in their order.
    pub fn key(instance: &InstanceId, place: u64) -> String {
        format!("{AUDIT_PREFIX}{instance}/{place:012}")
    }

    /// Returns the place that a key names.
    pub fn place(key: &str) -> Option<u64> {
        key.rsplit('/').next()?.parse().ok()
    }
}
