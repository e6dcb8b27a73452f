//! An endpoint that may be chosen.

use nutmeggrade_core::prelude::*;

/// An endpoint that may get new work, as the deciding code sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Its key/value memory in tokens, if it is an engine.
    pub memory: Option<u64>,
    /// Requests that this instance may send it in the running second, if it is cold.
    pub cold_left: Option<u32>,
    /// Whether only requests that are drawn for a new version may go there.
    pub is_canary: bool,
}
