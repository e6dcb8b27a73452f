//! API keys of workspaces.

use crate::id::WorkspaceId;

/// The workspace that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
}
