//! A generation request, as the scheduler sees it.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

use crate::Ticket;

/// A generation request that is to be placed on an engine.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Identifies the request within this instance.
    pub ticket: Ticket,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Task that the response belongs to.
    pub task: TaskId,
    /// Whether the task's responses are long.
    pub is_long: bool,
    /// Requested model.
    pub model: ModelId,
    /// Estimated length of the prompt, in tokens.
    pub prompt: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Hash of the start of the prompt, for prefix affinity; 0 for none.
    pub prefix: u64,
    /// Time after which the response is useless to the client.
    pub deadline: Moment,
    /// Engines that failed this request before.
    pub avoid: BTreeSet<EndpointId>,
}
