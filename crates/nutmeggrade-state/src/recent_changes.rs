//! Recently accepted configuration changes, for operators during an outage of the platform.

use std::collections::BTreeMap;

use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of stored changes; at 4,100 changes a day, those of the last hour and a half.
pub const MAX_CHANGES: usize = 256;

/// One accepted change, without the content of a preset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version of the configuration that resulted from the change.
    pub version: u64,
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub who: String,
    /// Reason given by the operator.
    pub why: String,
    /// Wall-clock time, in milliseconds since 1970, for display only.
    pub at_ms: u64,
    /// Description of the change.
    pub change: String,
}

impl AcceptedChange {
    /// Extracts the change from the resulting configuration.
    pub fn new(config: &Configuration) -> Self {
        Self {
            version: config.version,
            id: config.id.clone(),
            who: config.who.clone(),
            why: config.why.clone(),
            at_ms: config.at_ms,
            change: describe(&config.change),
        }
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::PutPreset { preset, .. } => format!("put_preset {preset}"),
        Change::UsePreset { preset } => format!("use_preset {preset}"),
        Change::DomainOut { domain } => format!("domain_out {domain}"),
        Change::DomainIn { domain } => format!("domain_in {domain}"),
        Change::EndpointOut { endpoint } => format!("endpoint_out {endpoint}"),
        Change::EndpointIn { endpoint } => format!("endpoint_in {endpoint}"),
    }
}

/// Table of the latest accepted changes, by version.
///
/// The audit trail is in the platform; during an outage operators could not find out who took a
/// failure domain out of service an hour ago. Each instance stores a bounded copy of the changes it
/// saw, without the content of presets to keep it small.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: BTreeMap<u64, AcceptedChange>,
}

impl RecentChanges {
    /// Records the change from which a configuration resulted.
    pub fn note(&mut self, config: &Configuration) {
        self.changes.entry(config.version).or_insert_with(|| AcceptedChange::new(config));
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }

    /// Lists the changes, oldest first.
    pub fn list(&self) -> Vec<AcceptedChange> {
        self.changes.values().cloned().collect()
    }
}
