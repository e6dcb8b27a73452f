//! One generation that runs.

use nutmeggrade_core::prelude::*;

use crate::memory::Forecast;

/// Tokens between two looks at a running answer; half the narrowest of the wider length ranges.
pub(crate) const LOOK: u64 = 32;

/// One generation that this instance has on an engine.
#[derive(Debug)]
pub(crate) struct Stream {
    pub endpoint: EndpointId,
    pub workspace: WorkspaceId,
    pub task: TaskId,
    pub prompt: u64,
    pub max: u64,
    pub done: u64,
    /// Length up to which the estimator knows it.
    pub learned: u64,
    pub last: Option<Moment>,
    pub forecast: Forecast,
}
