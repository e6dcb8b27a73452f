//! What a key stands for.

use crate::id::WorkspaceId;

/// The workspace that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
}
