//! Queue of waiting generations of one instance.

use nutmeggrade_core::prelude::*;

use super::Lane;
use crate::{GenerationRequest, Ticket};

/// Separate lanes for short and long tasks, each fair across workspaces.
///
/// A short response takes a second and little memory; behind a hundred long ones it would wait a
/// minute. In its own lane it is placed even while a long one finds no memory, and a long one
/// without memory blocks only other long ones.
#[derive(Debug, Default)]
pub struct FairQueue {
    short: Lane,
    long: Lane,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lane of long or of short tasks.
    pub const fn lane(&self, is_long: bool) -> &Lane {
        if is_long { &self.long } else { &self.short }
    }

    /// Returns the lane of long or of short tasks for update.
    pub const fn lane_mut(&mut self, is_long: bool) -> &mut Lane {
        if is_long { &mut self.long } else { &mut self.short }
    }

    /// Returns whether a workspace may add a request: the queue has room and, if it is at least
    /// half full, the workspace holds no more than its share. Without the share the largest
    /// workspace would fill the queue, and the requests of others would be refused.
    pub fn has_room(&self, workspace: &WorkspaceId, limit: usize) -> bool {
        let total = self.len();
        let own = self.short.waiting(workspace) + self.long.waiting(workspace);
        let workspaces = 1 + self.short.workspaces().max(self.long.workspaces());
        total < limit && (total * 2 < limit || own * workspaces <= limit)
    }

    /// Removes a request whose client gave up.
    pub fn remove(&mut self, ticket: Ticket) -> Option<GenerationRequest> {
        self.short.remove(ticket).or_else(|| self.long.remove(ticket))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
