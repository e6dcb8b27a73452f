//! Accepted changes that this instance has seen, for operators during an outage of the platform.

use std::collections::BTreeMap;

use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Changes that are kept; at 4,100 changes a day the last hour and a half.
pub const MAX_CHANGES: usize = 256;

/// One accepted change without the content of a preset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the configuration that it made.
    pub version: u64,
    /// The change's id.
    pub id: ChangeId,
    /// Who made it.
    pub who: String,
    /// Why.
    pub why: String,
    /// Wall time, milliseconds since 1970, for people only.
    pub at_ms: u64,
    /// What was changed, in words.
    pub change: String,
}

impl Accepted {
    /// Takes the change out of the configuration that it made.
    pub fn new(config: &Configuration) -> Self {
        Self {
            version: config.version,
            id: config.id.clone(),
            who: config.who.clone(),
            why: config.why.clone(),
            at_ms: config.at_ms,
            change: words(&config.change),
        }
    }
}

fn words(change: &Change) -> String {
    match change {
        Change::PutPreset { preset, .. } => format!("put_preset {preset}"),
        Change::UsePreset { preset } => format!("use_preset {preset}"),
        Change::DomainOut { domain } => format!("domain_out {domain}"),
        Change::DomainIn { domain } => format!("domain_in {domain}"),
        Change::EndpointOut { endpoint } => format!("endpoint_out {endpoint}"),
        Change::EndpointIn { endpoint } => format!("endpoint_in {endpoint}"),
    }
}

/// Keeps the latest accepted changes by version.
///
/// The audit trail is the platform's; with the platform down nobody could tell who took a failure
/// domain out an hour ago. Each instance keeps a bounded copy of what it saw, without the presets'
/// content, so that it stays small.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: BTreeMap<u64, Accepted>,
}

impl RecentChanges {
    /// Notes the change that a configuration made.
    pub fn note(&mut self, config: &Configuration) {
        self.changes.entry(config.version).or_insert_with(|| Accepted::new(config));
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }

    /// Lists the changes, oldest first.
    pub fn list(&self) -> Vec<Accepted> {
        self.changes.values().cloned().collect()
    }
}
