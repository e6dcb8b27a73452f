//! An endpoint that may be chosen.

use nutmeggrade_core::prelude::*;

use crate::fleet::Turn;

/// An endpoint that may get new work, as the dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Endpoint ID.
    pub id: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
    /// Software version, if it states one.
    pub version: Option<VersionId>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Capacity of its key/value cache in tokens, if it is an engine.
    pub memory: Option<u64>,
    /// Requests that this instance may still send it in the current second, if it is cold.
    pub cold_left: Option<u32>,
    /// When this instance may send it the next request, if it limits its rate or asked for a pause.
    pub turn: Option<Turn>,
    /// Whether it accepts only requests that are selected for a new version.
    pub is_canary: bool,
}
