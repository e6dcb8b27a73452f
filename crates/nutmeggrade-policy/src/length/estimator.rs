//! Remaining length of an answer, given how long it already is.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::prelude::*;

use super::Hazard;
use super::hazard::{range, unknown, upper};

/// Workspaces with tables of their own; beyond it a new one reads the pooled table.
const TABLES: usize = 4_096;
/// Latest ended answers of a task that are looked at for a workspace that sends most of them.
const RECENT: usize = 16;

#[derive(Debug, Default)]
struct Pool {
    hazard: Hazard,
    recent: VecDeque<WorkspaceId>,
}

/// Learns the lengths of answers per workspace and task, online.
///
/// Answers lengths that nobody knows beforehand and that differ by task and caller. Reserving the
/// limit leaves the memory four fifths empty; reserving nothing fills it twice over. A workspace's
/// own answers count first, those of its task in all workspaces where it has few, and a heavy tail
/// where nothing was seen. A workspace that sends most of a task's answers counts less in the pool,
/// the more of the last 16 are its own; otherwise two huge workspaces would teach their lengths to
/// all newcomers, whose longer answers then run out of memory.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    own: BTreeMap<TaskId, BTreeMap<WorkspaceId, Hazard>>,
    pools: BTreeMap<TaskId, Pool>,
}

impl LengthEstimator {
    /// Makes an estimator that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a running answer grew.
    pub fn grow(&mut self, workspace: &WorkspaceId, task: &TaskId, from: u64, to: u64) {
        if let Some(own) = self.own(workspace, task) {
            own.grow(from, to, 1.0);
        }
        let pool = pool(&mut self.pools, task);
        let weight = weight(pool, workspace);
        pool.hazard.grow(from, to, weight);
    }

    /// Notes that an answer ended by itself.
    pub fn end(&mut self, workspace: &WorkspaceId, task: &TaskId, length: u64) {
        if let Some(own) = self.own(workspace, task) {
            own.end(length, 1.0);
        }
        let pool = pool(&mut self.pools, task);
        let weight = weight(pool, workspace);
        pool.hazard.end(length, weight);
        pool.recent.push_back(workspace.clone());
        if pool.recent.len() > RECENT {
            pool.recent.pop_front();
        }
    }

    /// Returns the chance that an answer which is `done` long goes on for each of `ahead` more
    /// tokens, which must ascend; none outlives `max`.
    pub fn survival<const N: usize>(
        &self,
        workspace: &WorkspaceId,
        task: &TaskId,
        done: u64,
        max: u64,
        ahead: &[u64; N],
    ) -> [f64; N] {
        let mut chances = [0.0; N];
        let mut exponent = 0.0;
        let mut at = done;
        self.walk(workspace, task, done, |end, rate, i: &mut usize| {
            while *i < N && done + ahead[*i] <= end {
                let to = done + ahead[*i];
                exponent += (to - at) as f64 * rate;
                at = to;
                chances[*i] = if to < max || to == done { f64::exp(-exponent) } else { 0.0 };
                *i += 1;
            }
            exponent += end.saturating_sub(at) as f64 * rate;
            at = end;
            *i < N && end < max
        });
        chances
    }

    /// Returns how many tokens an answer that is `done` long is expected to add.
    pub fn remaining(&self, workspace: &WorkspaceId, task: &TaskId, done: u64, max: u64) -> f64 {
        let mut alive: f64 = 1.0;
        let mut sum = 0.0;
        let mut at = done;
        self.walk(workspace, task, done, |end, rate, _| {
            let end = end.min(max);
            let part = end.saturating_sub(at) as f64;
            let passed = f64::exp(-part * rate);
            sum += if rate > 0.0 { alive * (1.0 - passed) / rate } else { alive * part };
            alive *= passed;
            at = end;
            end < max
        });
        sum
    }

    /// Visits the ranges from `done` on with their ends and rates until `visit` says stop.
    fn walk(
        &self,
        workspace: &WorkspaceId,
        task: &TaskId,
        done: u64,
        mut visit: impl FnMut(u64, f64, &mut usize) -> bool,
    ) {
        let own = self.own.get(task).and_then(|t| t.get(workspace));
        let pool = self.pools.get(task);
        let mut index = 0;
        let mut at = range(done);
        loop {
            let pooled = pool.map_or(unknown(at), |p| p.hazard.rate(at, unknown(at)));
            let rate = own.map_or(pooled, |o| o.rate(at, pooled));
            let end = upper(at);
            if !visit(end, rate, &mut index) || end == u64::MAX {
                return;
            }
            at += 1;
        }
    }

    fn own(&mut self, workspace: &WorkspaceId, task: &TaskId) -> Option<&mut Hazard> {
        if !self.own.contains_key(task) {
            self.own.insert(task.clone(), BTreeMap::new());
        }
        let tables = self.own.get_mut(task)?;
        if !tables.contains_key(workspace) {
            if tables.len() >= TABLES {
                return None;
            }
            tables.insert(workspace.clone(), Hazard::new());
        }
        tables.get_mut(workspace)
    }
}

fn pool<'a>(pools: &'a mut BTreeMap<TaskId, Pool>, task: &TaskId) -> &'a mut Pool {
    pools.entry(task.clone()).or_default()
}

fn weight(pool: &Pool, workspace: &WorkspaceId) -> f64 {
    let same = pool.recent.iter().filter(|w| *w == workspace).count();
    1.0 / (1.0 + same as f64)
}
