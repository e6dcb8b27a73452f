//! Remaining length of a response, given its current length.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::prelude::*;

use super::Hazard;
use super::hazard::{prior_rate, range_end, range_index};

/// Workspaces of a task that have their own table; further ones use the pooled table.
const MAX_WORKSPACE_TABLES: usize = 4_096;
/// Most recently ended responses of a task that determine the pool weight of a workspace.
const RECENT_RESPONSES: usize = 16;

#[derive(Debug, Default)]
struct TaskPool {
    hazard: Hazard,
    recent: VecDeque<WorkspaceId>,
}

/// Estimates the lengths of responses per workspace and task, online.
///
/// Lengths are unknown beforehand and differ by task and client. Reserving the limit would leave
/// four fifths of the memory empty; reserving nothing would overcommit it twofold. A workspace's
/// own responses have priority, then those of its task in all workspaces while it has few, then a
/// heavy-tailed prior. The more of a task's last 16 responses are from one workspace, the less each
/// of its responses counts in the pool; otherwise two huge workspaces would dominate the estimate
/// for all newcomers, whose longer responses would then run out of memory.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    own: BTreeMap<TaskId, BTreeMap<WorkspaceId, Hazard>>,
    pools: BTreeMap<TaskId, TaskPool>,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a running response grew.
    pub fn grow(&mut self, workspace: &WorkspaceId, task: &TaskId, from: u64, to: u64) {
        if let Some(own) = self.own_table(workspace, task) {
            own.grow(from, to, 1.0);
        }
        let pool = pool(&mut self.pools, task);
        let weight = pool_weight(pool, workspace);
        pool.hazard.grow(from, to, weight);
    }

    /// Records that a response ended by itself.
    pub fn end(&mut self, workspace: &WorkspaceId, task: &TaskId, length: u64) {
        if let Some(own) = self.own_table(workspace, task) {
            own.end(length, 1.0);
        }
        let pool = pool(&mut self.pools, task);
        let weight = pool_weight(pool, workspace);
        pool.hazard.end(length, weight);
        pool.recent.push_back(workspace.clone());
        if pool.recent.len() > RECENT_RESPONSES {
            pool.recent.pop_front();
        }
    }

    /// Returns the probabilities that a response of length `done` continues for each of `ahead`
    /// more tokens, which must ascend; none continues beyond `max`.
    pub fn survival<const N: usize>(
        &self,
        workspace: &WorkspaceId,
        task: &TaskId,
        done: u64,
        max: u64,
        ahead: &[u64; N],
    ) -> [f64; N] {
        let mut probabilities = [0.0; N];
        let mut exponent = 0.0;
        let mut at = done;
        self.visit_ranges(workspace, task, done, |end, rate, i: &mut usize| {
            while *i < N && done + ahead[*i] <= end {
                let to = done + ahead[*i];
                exponent += (to - at) as f64 * rate;
                at = to;
                probabilities[*i] = if to < max || to == done { f64::exp(-exponent) } else { 0.0 };
                *i += 1;
            }
            exponent += end.saturating_sub(at) as f64 * rate;
            at = end;
            *i < N && end < max
        });
        probabilities
    }

    /// Returns the expected number of further tokens of a response of length `done`.
    pub fn remaining(&self, workspace: &WorkspaceId, task: &TaskId, done: u64, max: u64) -> f64 {
        let mut survival: f64 = 1.0;
        let mut sum = 0.0;
        let mut at = done;
        self.visit_ranges(workspace, task, done, |end, rate, _| {
            let end = end.min(max);
            let width = end.saturating_sub(at) as f64;
            let continues = f64::exp(-width * rate);
            sum += if rate > 0.0 { survival * (1.0 - continues) / rate } else { survival * width };
            survival *= continues;
            at = end;
            end < max
        });
        sum
    }

    /// Visits the length ranges from `done` on with their ends and rates until `visit` returns
    /// false.
    fn visit_ranges(
        &self,
        workspace: &WorkspaceId,
        task: &TaskId,
        done: u64,
        mut visit: impl FnMut(u64, f64, &mut usize) -> bool,
    ) {
        let own = self.own.get(task).and_then(|t| t.get(workspace));
        let pool = self.pools.get(task);
        let mut index = 0;
        let mut at = range_index(done);
        loop {
            let pooled = pool.map_or(prior_rate(at), |p| p.hazard.rate(at, prior_rate(at)));
            let rate = own.map_or(pooled, |o| o.rate(at, pooled));
            let end = range_end(at);
            if !visit(end, rate, &mut index) || end == u64::MAX {
                return;
            }
            at += 1;
        }
    }

    fn own_table(&mut self, workspace: &WorkspaceId, task: &TaskId) -> Option<&mut Hazard> {
        if !self.own.contains_key(task) {
            self.own.insert(task.clone(), BTreeMap::new());
        }
        let tables = self.own.get_mut(task)?;
        if !tables.contains_key(workspace) {
            if tables.len() >= MAX_WORKSPACE_TABLES {
                return None;
            }
            tables.insert(workspace.clone(), Hazard::new());
        }
        tables.get_mut(workspace)
    }
}

fn pool<'a>(pools: &'a mut BTreeMap<TaskId, TaskPool>, task: &TaskId) -> &'a mut TaskPool {
    pools.entry(task.clone()).or_default()
}

fn pool_weight(pool: &TaskPool, workspace: &WorkspaceId) -> f64 {
    let count = pool.recent.iter().filter(|w| *w == workspace).count();
    1.0 / (1.0 + count as f64)
}
