//! Description of an engine for the scheduler.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

/// Description of an engine that may get work, as given to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Endpoint ID.
    pub id: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
    /// Models that it serves.
    pub models: BTreeSet<ModelId>,
    /// Capacity of the key/value cache, in tokens.
    pub memory: u64,
    /// Generations that this instance may have on it while it is cold.
    pub cold_right: u32,
    /// Number of instances that share it, this one included.
    pub instance_count: u32,
}
