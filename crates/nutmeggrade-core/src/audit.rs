//! Audit trail entries other than configuration changes.

use serde::{Deserialize, Serialize};

use crate::id::InstanceId;

/// Key prefix of the audit entries in the platform's object store.
pub const AUDIT_PREFIX: &str = "audit/";

/// An action that an instance took or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// Wrote a new epoch, in which endpoints may have new owners.
    TookOver,
    /// Refused an operator's call without a valid token.
    TokenRefused,
    /// Received a configuration older than the one in force and kept the newer one.
    OldConfigRefused,
    /// Refused new work while cut off.
    WorkRefused,
    /// Sent an order to an endpoint.
    OrderSent,
    /// Received an endpoint's refusal of an order.
    OrderRefused,
    /// Confirmed by reading back that an endpoint carries out an order.
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
    /// The instance that wrote the entry.
    pub instance: InstanceId,
    /// Distinguishes restarts of an instance under the same name.
    pub incarnation: u64,
    /// Number of the entry within this incarnation.
    pub number: u64,
    /// Wall time in Unix milliseconds, for display only.
    pub at_ms: u64,
    /// Version of the configuration in force on the instance.
    pub config: u64,
    /// The action.
    pub event: AuditEvent,
    /// Details, as key=value pairs.
    pub detail: String,
    /// Number of similar events omitted since the last entry of this kind.
    pub repeats: u64,
}

impl AuditEntry {
    /// Returns the key prefix of an instance's entries.
    pub fn prefix(instance: &InstanceId) -> String {
        format!("{AUDIT_PREFIX}{instance}/")
    }

    /// Returns the key of an instance's entry at an index; keys sort by index.
    pub fn key(instance: &InstanceId, index: u64) -> String {
        format!("{AUDIT_PREFIX}{instance}/{index:012}")
    }

    /// Returns the index that a key ends with.
    pub fn place(key: &str) -> Option<u64> {
        key.rsplit('/').next()?.parse().ok()
    }
}
