//! Requests that the dispatcher places.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

use super::Candidate;
use crate::Ticket;
use crate::queue::Queued;

/// A response that adds less than a prompt's memory divided by this is short. It ends in a fraction
/// of a second, while a long one still grows.
const SHORT_GROWTH_DIVISOR: u64 = 10;

/// A request that is to be sent to an endpoint.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Identifies the request within this instance.
    pub ticket: Ticket,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Service that it goes to.
    pub service: ServiceId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Length of the prompt in tokens; 0 without one.
    pub prompt: u64,
    /// Expected final memory use in tokens; 0 without a prompt.
    pub memory: u64,
    /// Endpoints that failed this request.
    pub avoid: BTreeSet<EndpointId>,
    /// Latest start that still meets the response time acceptable to users.
    pub start_deadline: Moment,
    /// When the time limit of the client or the route ends.
    pub deadline: Moment,
    /// Failure domain that its memory is copied from, if it continues on another endpoint.
    pub from: Option<DomainId>,
    /// The only version that may run it, because a stream began there.
    pub version: Option<VersionId>,
    /// Whether the request is selected for a new version, provided that this has room.
    pub is_canary: bool,
}

impl DispatchRequest {
    /// Returns whether an endpoint may run the request: it has not failed it, and has the version that
    /// its stream began at.
    pub fn allows(&self, candidate: &Candidate) -> bool {
        !self.avoid.contains(&candidate.id)
            && (self.version.is_none() || self.version == candidate.version)
    }

    /// Returns whether its response adds little memory to its prompt, as a short answer does.
    pub const fn is_short(&self) -> bool {
        let growth = self.memory.saturating_sub(self.prompt);
        growth.saturating_mul(SHORT_GROWTH_DIVISOR) <= self.prompt && self.prompt > 0
    }

    /// Returns whether some endpoints may not run the request.
    pub fn is_restricted(&self) -> bool {
        !self.avoid.is_empty() || self.version.is_some()
    }
}

impl Queued for DispatchRequest {
    fn ticket(&self) -> Ticket {
        self.ticket
    }

    fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }

    /// A client that was refused and asks again has less time left than a newcomer of the same kind,
    /// and goes before it at whichever instance it asks. Asking early or often gains nothing.
    fn order(&self) -> Moment {
        self.deadline
    }

    fn memory(&self) -> u64 {
        self.memory
    }
}
