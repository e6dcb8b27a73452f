//! What a request takes of an endpoint.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

use crate::Ticket;
use crate::queue::Queued;

/// One request that wants to be sent.
#[derive(Debug, Clone)]
pub struct Need {
    /// Names the request inside this instance.
    pub ticket: Ticket,
    /// Who asks.
    pub workspace: WorkspaceId,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of the prompt; 0 without one.
    pub prompt: u64,
    /// Memory that it will probably take in the end, in tokens; 0 without a prompt.
    pub memory: u64,
    /// Endpoints that failed this request.
    pub avoid: BTreeSet<EndpointId>,
    /// Until when it can still be answered in the time that its users are content with.
    pub fresh_until: Moment,
    /// The failure domain that its memory is copied from, if it goes on elsewhere.
    pub from: Option<DomainId>,
    /// Whether the request is drawn for a new version, if that has room.
    pub is_canary: bool,
}

impl Queued for Need {
    fn ticket(&self) -> Ticket {
        self.ticket
    }

    fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }
}
