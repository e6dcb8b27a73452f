//! Waiting requests of one kind, fair across workspaces.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nutmeggrade_core::prelude::*;

use crate::{Ask, Ticket};

/// What a lane has to know of a request.
pub trait Queued {
    /// Names the request inside this instance.
    fn ticket(&self) -> Ticket;

    /// Says who asks.
    fn workspace(&self) -> &WorkspaceId;
}

impl Queued for Ask {
    fn ticket(&self) -> Ticket {
        self.ticket
    }

    fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }
}

#[derive(Debug)]
struct Line<A> {
    asks: VecDeque<A>,
    start: f64,
}

impl<A> Default for Line<A> {
    fn default() -> Self {
        Self { asks: VecDeque::new(), start: 0.0 }
    }
}

/// Start-time fair queue: whoever got least so far is next.
///
/// Answers two workspaces that send most of the load. In one line all wait behind them, and a
/// workspace with one request a minute waits as long as the one that fills the queue. Each workspace
/// has a line of its own; taking a request moves its workspace back by the request's cost. A
/// workspace that was away begins at the present, with no credit for its absence.
#[derive(Debug)]
pub struct Lane<A = Ask> {
    lines: BTreeMap<WorkspaceId, Line<A>>,
    order: BTreeSet<(u64, WorkspaceId)>,
    owners: BTreeMap<Ticket, WorkspaceId>,
    present: f64,
}

impl<A> Default for Lane<A> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            order: BTreeSet::new(),
            owners: BTreeMap::new(),
            present: 0.0,
        }
    }
}

impl<A: Queued + Clone> Lane<A> {
    /// Makes an empty lane.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request at the end of its workspace's line.
    pub fn push(&mut self, ask: &A) {
        let present = self.present;
        self.owners.insert(ask.ticket(), ask.workspace().clone());
        let line = self.lines.entry(ask.workspace().clone()).or_default();
        if line.asks.is_empty() {
            line.start = line.start.max(present);
            self.order.insert((key(line.start), ask.workspace().clone()));
        }
        line.asks.push_back(ask.clone());
    }

    /// Returns the workspaces that wait, the next one first.
    pub fn heads(&self) -> impl Iterator<Item = &A> {
        let heads = self.order.iter().filter_map(|(_, w)| self.lines.get(w));
        heads.filter_map(|l| l.asks.front())
    }

    /// Takes a request out that got its place, at a cost to its workspace.
    pub fn take(&mut self, ticket: Ticket, cost: f64) {
        let Some(workspace) = self.owners.get(&ticket).cloned() else { return };
        let Some(line) = self.lines.get_mut(&workspace) else { return };
        self.order.remove(&(key(line.start), workspace.clone()));
        self.present = self.present.max(line.start);
        line.start += cost;
        self.order.insert((key(line.start), workspace));
        self.remove(ticket);
    }

    /// Takes a request out that gave up; costs nothing.
    pub fn remove(&mut self, ticket: Ticket) -> Option<A> {
        let workspace = self.owners.remove(&ticket)?;
        let line = self.lines.get_mut(&workspace)?;
        let place = line.asks.iter().position(|a| a.ticket() == ticket)?;
        let ask = line.asks.remove(place);
        if line.asks.is_empty() {
            self.order.remove(&(key(line.start), workspace));
            // Lines that are behind the present would begin there anyway.
            let present = self.present;
            self.lines.retain(|_, l| !l.asks.is_empty() || l.start > present);
        }
        ask
    }

    /// Returns all whose deadline passed, or that can't finish any more by `late`.
    pub fn expired(&self, late: impl Fn(&A) -> bool) -> Vec<Ticket> {
        let asks = self.lines.values().flat_map(|l| &l.asks);
        asks.filter(|a| late(a)).map(Queued::ticket).collect()
    }

    /// Returns how many requests would be taken before a new one of this workspace.
    pub fn ahead(&self, workspace: &WorkspaceId) -> usize {
        let own = self.lines.get(workspace).map_or(0, |l| l.asks.len());
        // Everyone else gets a turn for each own one.
        self.lines.values().map(|l| l.asks.len().min(own + 1)).sum::<usize>().min(self.len())
    }

    /// Returns how many of a workspace wait.
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.lines.get(workspace).map_or(0, |l| l.asks.len())
    }

    /// Returns how many workspaces wait.
    pub fn workspaces(&self) -> usize {
        self.order.len()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Says whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// Orders starts in a set; positive floats sort as their bits do.
fn key(start: f64) -> u64 {
    start.max(0.0).to_bits()
}
