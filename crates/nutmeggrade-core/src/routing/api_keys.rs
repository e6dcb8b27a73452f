//! API keys of a configuration.

use std::collections::BTreeMap;

use super::WorkspaceKey;

/// API keys of a configuration.
///
/// That keys are required doesn't follow from their number: once the last key is revoked, no request to
/// a route that isn't public is allowed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ApiKeys {
    /// Requests need no key.
    #[default]
    NotRequired,
    /// Requests to routes that aren't public need one of these keys.
    Required(BTreeMap<String, WorkspaceKey>),
}

impl ApiKeys {
    /// Returns the workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceKey> {
        match self {
            Self::NotRequired => None,
            Self::Required(keys) => keys.get(key),
        }
    }

    /// Returns whether requests need a key.
    pub const fn are_required(&self) -> bool {
        matches!(self, Self::Required(_))
    }
}
