//! Configuration in force on this instance.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;

use crate::invariant;

/// Holder of the highest configuration version that this instance has seen.
///
/// Versions arrive from the platform's watch, from peers and from the operators' push, in any
/// order. If a late message put an older version in force, a failure domain that operators took out
/// of service would get work again; the symptom is a version in `status` that decreases. Only a
/// higher version is ever accepted.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: Option<Arc<Configuration>>,
    highest_known: u64,
}

impl ConfigTable {
    /// Creates an empty table; the instance is not ready until a version is offered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts a version if it is higher than the one in force; returns whether it was accepted.
    pub fn offer(&mut self, config: &Configuration) -> bool {
        let before = self.version();
        if config.version <= before {
            return false;
        }
        self.current = Some(Arc::new(config.clone()));
        invariant::check(self.version() > before, "config_never_reverts");
        true
    }

    /// Records that a peer has a version in force; returns whether a version higher than the one
    /// here is known.
    ///
    /// An instance that hears from peers but cannot fetch their configuration is not isolated, and
    /// would keep sending work to what operators took out of service. Until it has caught up,
    /// contact with peers proves nothing, and the fence must not count it.
    pub fn note(&mut self, version: u64) -> bool {
        self.highest_known = self.highest_known.max(version);
        self.wanted().is_some()
    }

    /// Returns the highest version known to be in force on any instance, if it is not in force
    /// here.
    pub fn wanted(&self) -> Option<u64> {
        (self.highest_known > self.version()).then_some(self.highest_known)
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.clone()
    }
}
