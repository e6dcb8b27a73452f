//! Placed requests that may take a lease.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EngineSpec, RouteKind};

use super::DispatchRequest;

/// Share of an engine's capacity, in percent, above which its committed memory counts as pressure.
const PRESSURE_PERCENT: u128 = 85;

/// A request that is placed at an engine and not yet sent.
#[derive(Debug, Clone, Copy)]
pub struct HoldQuery<'a> {
    /// The request.
    pub request: &'a DispatchRequest,
    /// Kind of its route.
    pub kind: RouteKind,
    /// The engine.
    pub endpoint: &'a EndpointId,
    /// Properties of the engine.
    pub engine: &'a EngineSpec,
    /// Memory in tokens that is committed to requests at the engine, with this one.
    pub committed: u64,
}

impl HoldQuery<'_> {
    /// Returns whether a lease can make a difference for the request: a request that may be repeated
    /// can be sent elsewhere at any time.
    pub fn is_eligible(&self) -> bool {
        let has_prompt = self.request.memory > 0;
        has_prompt && !self.engine.lease_time.is_zero() && !self.kind.is_repeatable()
    }

    /// Returns whether nearly all memory of the engine is committed.
    pub fn is_nearly_full(&self) -> bool {
        u128::from(self.committed) * 100 > u128::from(self.engine.memory) * PRESSURE_PERCENT
    }
}
