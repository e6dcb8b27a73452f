//! What a request asks of the engines.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

use crate::Ticket;

/// One generation that wants to run.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Names the request inside this instance.
    pub ticket: Ticket,
    /// Who asks.
    pub workspace: WorkspaceId,
    /// What kind of answer.
    pub task: TaskId,
    /// Whether the task's answers are long.
    pub long: bool,
    /// The model.
    pub model: ModelId,
    /// Prompt length in tokens, estimated.
    pub prompt: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Hash of the prompt's start, for prefix affinity; 0 for none.
    pub prefix: u64,
    /// When the answer is worth nothing any more.
    pub deadline: Moment,
    /// Engines that failed this request before.
    pub avoid: BTreeSet<EndpointId>,
}
