//! An engine as the scheduler is told of it.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

/// An engine as the scheduler is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub id: EndpointId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Models it can run.
    pub models: BTreeSet<ModelId>,
    /// Its key/value memory, in tokens.
    pub memory: u64,
    /// Generations that this instance may have on it while it is cold.
    pub cold_right: u32,
    /// Instances that share it, this one included.
    pub sharers: u32,
}
