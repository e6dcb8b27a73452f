//! A running generation.

use nutmeggrade_core::prelude::*;

use crate::memory::Forecast;

/// Tokens between two updates of the length estimates and the forecast of a running response; half
/// of the narrowest of the wider length ranges.
pub(crate) const UPDATE_INTERVAL_TOKENS: u64 = 32;

/// A generation that this instance runs on an engine.
#[derive(Debug)]
pub(crate) struct Stream {
    pub endpoint: EndpointId,
    pub workspace: WorkspaceId,
    pub task: TaskId,
    pub prompt: u64,
    pub max_tokens: u64,
    pub generated: u64,
    /// Length up to which the length estimates include it.
    pub recorded: u64,
    pub last_token: Option<Moment>,
    pub forecast: Forecast,
}
