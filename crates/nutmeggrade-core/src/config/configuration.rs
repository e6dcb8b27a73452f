//! Versions of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Change, Preset, Problems};
use crate::code::Code;
use crate::failure::Failure;
use crate::id::{ChangeId, DomainId, EndpointId, PresetId};

/// Key prefix of the configuration's versions in the platform's object store.
pub const CONFIG_PREFIX: &str = "config/";

/// One version of the whole configuration, with the author and reason of its change.
///
/// Version n+1 is an object that is created only if absent, so the platform resolves every race and
/// the versions themselves are the audit trail of changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of accepted changes, from 1.
    pub version: u64,
    /// Id of the change; identifies the writer when the response to a write was lost.
    pub id: ChangeId,
    /// Author of the change.
    pub who: String,
    /// Reason for the change.
    pub why: String,
    /// Wall time of the change in Unix milliseconds, for display only.
    pub at_ms: u64,
    /// The change that produced this version.
    pub change: Change,
    /// Name of the preset in force.
    pub active: PresetId,
    /// All presets by name.
    pub presets: BTreeMap<PresetId, Preset>,
    /// Failure domains out of service.
    pub out_domains: BTreeSet<DomainId>,
    /// Endpoints out of service.
    pub out_endpoints: BTreeSet<EndpointId>,
}

impl Configuration {
    /// Creates version 1 with a single preset, which is in force.
    pub fn new(id: ChangeId, who: &str, why: &str, name: &PresetId, preset: &Preset) -> Self {
        let change = Change::PutPreset { preset: name.clone(), content: Box::new(preset.clone()) };
        Self {
            version: 1,
            id,
            who: who.to_owned(),
            why: why.to_owned(),
            at_ms: 0,
            change,
            active: name.clone(),
            presets: BTreeMap::from([(name.clone(), preset.clone())]),
            out_domains: BTreeSet::new(),
            out_endpoints: BTreeSet::new(),
        }
    }

    /// Sets the wall time of the change.
    #[must_use]
    pub fn with_time(mut self, at_ms: u64) -> Self {
        self.at_ms = at_ms;
        self
    }

    /// Returns the key of a version; keys sort by version.
    pub fn key(version: u64) -> String {
        format!("{CONFIG_PREFIX}{version:012}")
    }

    /// Returns the preset in force.
    pub fn preset(&self) -> Option<&Preset> {
        self.presets.get(&self.active)
    }

    /// Returns whether a change would have no effect.
    ///
    /// Operators repeat a command whose response was lost; a second version with the same content
    /// would hide the author and reason of the change in the audit trail.
    pub fn has(&self, change: &Change) -> bool {
        match change {
            Change::PutPreset { preset, content } => self.presets.get(preset) == Some(&**content),
            Change::UsePreset { preset } => self.active == *preset,
            Change::DomainOut { domain } => self.out_domains.contains(domain),
            Change::DomainIn { domain } => !self.out_domains.contains(domain),
            Change::EndpointOut { endpoint } => self.out_endpoints.contains(endpoint),
            Change::EndpointIn { endpoint } => !self.out_endpoints.contains(endpoint),
        }
    }

    /// Creates the next version and validates it as a whole.
    pub fn next(
        &self,
        id: ChangeId,
        who: &str,
        why: &str,
        change: &Change,
    ) -> Result<Self, Failure> {
        if who.trim().is_empty() || why.trim().is_empty() {
            return Err(Failure::new(Code::WhoWhyMissing, "a change needs who and why"));
        }
        let mut next = self.clone();
        next.version = self.version + 1;
        next.id = id;
        who.clone_into(&mut next.who);
        why.clone_into(&mut next.why);
        next.change = change.clone();
        next.apply(change)?;
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), Failure> {
        match change {
            Change::PutPreset { preset, content } => {
                let problems = Problems(content.problems());
                if !problems.0.is_empty() {
                    return Err(Failure::new(Code::BadChange, &problems.to_string()));
                }
                self.presets.insert(preset.clone(), (**content).clone());
            }
            Change::UsePreset { preset } => {
                if !self.presets.contains_key(preset) {
                    let known: Vec<_> = self.presets.keys().map(PresetId::as_str).collect();
                    let detail = format!("no preset {preset}; known: {}", known.join(", "));
                    return Err(Failure::new(Code::UnknownName, &detail));
                }
                self.active = preset.clone();
            }
            Change::DomainOut { domain } => {
                self.out_domains.insert(domain.clone());
            }
            Change::DomainIn { domain } => {
                self.out_domains.remove(domain);
            }
            Change::EndpointOut { endpoint } => {
                self.out_endpoints.insert(endpoint.clone());
            }
            Change::EndpointIn { endpoint } => {
                self.out_endpoints.remove(endpoint);
            }
        }
        Ok(())
    }
}
