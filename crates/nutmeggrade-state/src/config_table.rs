//! The configuration in force on this instance.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;

use crate::invariant;

/// Holds the highest version of the configuration that this instance has seen.
///
/// Versions come from the platform's watch, from peers and from the operators' push, in any order.
/// Were a late message with an older version put in force, a failure domain that operators took out
/// would get work again; one would notice it in `status` as a version that went back. Only a higher
/// version is ever taken.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: Option<Arc<Configuration>>,
    highest: u64,
}

impl ConfigTable {
    /// Makes an empty table; the instance is not ready until a version is offered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a version if it is higher than the one in force; says whether it was taken.
    pub fn offer(&mut self, offered: &Configuration) -> bool {
        let before = self.version();
        if offered.version <= before {
            return false;
        }
        self.current = Some(Arc::new(offered.clone()));
        invariant::check(self.version() > before, "config_never_reverts");
        true
    }

    /// Notes that a peer has a version in force; says whether it is higher than the one here.
    ///
    /// An instance that hears peers but can't get what they have is not cut off, and would go on
    /// sending work into what operators took out. Until it has caught up, what it hears proves
    /// nothing: the fence must not count it.
    pub fn note(&mut self, version: u64) -> bool {
        self.highest = self.highest.max(version);
        self.wanted().is_some()
    }

    /// Returns the highest version known to be in force somewhere, if it is not in force here.
    pub fn wanted(&self) -> Option<u64> {
        (self.highest > self.version()).then_some(self.highest)
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
