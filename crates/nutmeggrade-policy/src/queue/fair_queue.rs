//! The queue of one instance.

use nutmeggrade_core::prelude::*;

use super::Lane;
use crate::{Ask, Ticket};

/// Short tasks and long tasks in lanes of their own, each fair across workspaces.
///
/// Answers long work among short. A short answer takes a second and little memory; behind a hundred
/// long ones it waits a minute. Its own lane lets it pass where a long one finds no memory, and a
/// long one that finds no memory holds up only long ones.
#[derive(Debug, Default)]
pub struct FairQueue {
    short: Lane,
    long: Lane,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lane of long or of short tasks.
    pub const fn lane(&self, long: bool) -> &Lane {
        if long { &self.long } else { &self.short }
    }

    /// Returns the lane of long or of short tasks, to change it.
    pub const fn lane_mut(&mut self, long: bool) -> &mut Lane {
        if long { &mut self.long } else { &mut self.short }
    }

    /// Says whether a workspace may add a request: the queue has room, and if it is more than half
    /// full, the workspace holds no more than its part. Without that the largest workspace holds
    /// every place, and the others are refused for want of one.
    pub fn has_room(&self, workspace: &WorkspaceId, limit: usize) -> bool {
        let all = self.len();
        let own = self.short.waiting(workspace) + self.long.waiting(workspace);
        let workspaces = 1 + self.short.workspaces().max(self.long.workspaces());
        all < limit && (all * 2 < limit || own * workspaces <= limit)
    }

    /// Takes a request out that gave up.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Ask> {
        self.short.remove(ticket).or_else(|| self.long.remove(ticket))
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Says whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
