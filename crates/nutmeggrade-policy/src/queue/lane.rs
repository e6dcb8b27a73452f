//! Fair queue of requests of one kind.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;

use crate::{GenerationRequest, Ticket};

/// A request that can be queued in a [`Lane`].
pub trait Queued {
    /// Identifies the request within this instance.
    fn ticket(&self) -> Ticket;

    /// Returns the workspace that sent it.
    fn workspace(&self) -> &WorkspaceId;

    /// Returns the moment by which the requests of a workspace are ordered; those with the same one
    /// are served in the order of arrival.
    fn order(&self) -> Moment {
        Moment::ZERO
    }

    /// Returns the memory that it needs, in tokens, if waits depend on it.
    fn memory(&self) -> u64 {
        0
    }
}

/// Place of a request in the queue of its workspace: its order, then that of arrival.
type Place = (Moment, u64);

impl Queued for GenerationRequest {
    fn ticket(&self) -> Ticket {
        self.ticket
    }

    fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }
}

#[derive(Debug)]
struct WorkspaceQueue<R> {
    requests: BTreeMap<Place, R>,
    memory: u64,
    virtual_start: f64,
}

impl<R> Default for WorkspaceQueue<R> {
    fn default() -> Self {
        Self { requests: BTreeMap::new(), memory: 0, virtual_start: 0.0 }
    }
}

/// Start-time fair queue across workspaces: the workspace with the least service so far is next.
///
/// In a single queue all workspaces would wait behind those that send most of the load, also one
/// with a single request a minute. Each workspace has its own queue, and each request taken
/// advances the virtual start of its workspace by its cost. A workspace that was idle starts at the
/// current virtual time, without credit for its absence.
#[derive(Debug)]
pub struct Lane<R = GenerationRequest> {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue<R>>,
    order: BTreeSet<(u64, WorkspaceId)>,
    owners: BTreeMap<Ticket, (WorkspaceId, Place)>,
    arrivals: u64,
    virtual_time: f64,
}

impl<R> Default for Lane<R> {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            order: BTreeSet::new(),
            owners: BTreeMap::new(),
            arrivals: 0,
            virtual_time: 0.0,
        }
    }
}

impl<R: Queued + Clone> Lane<R> {
    /// Creates an empty lane.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request to the queue of its workspace.
    pub fn push(&mut self, request: &R) {
        let virtual_time = self.virtual_time;
        self.arrivals += 1;
        let place = (request.order(), self.arrivals);
        self.owners.insert(request.ticket(), (request.workspace().clone(), place));
        let queue = self.queues.entry(request.workspace().clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
            self.order.insert((sort_key(queue.virtual_start), request.workspace().clone()));
        }
        queue.memory = queue.memory.saturating_add(request.memory());
        queue.requests.insert(place, request.clone());
    }

    /// Returns the first request of each workspace, in the order of service.
    pub fn heads(&self) -> impl Iterator<Item = &R> {
        let heads = self.order.iter().filter_map(|(_, w)| self.queues.get(w));
        heads.filter_map(|q| q.requests.values().next())
    }

    /// Removes a request that was placed, and charges its cost to its workspace.
    pub fn take(&mut self, ticket: Ticket, cost: f64) {
        let Some((workspace, _)) = self.owners.get(&ticket).cloned() else { return };
        let Some(queue) = self.queues.get_mut(&workspace) else { return };
        self.order.remove(&(sort_key(queue.virtual_start), workspace.clone()));
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start += cost;
        self.order.insert((sort_key(queue.virtual_start), workspace));
        self.remove(ticket);
    }

    /// Removes a request whose client gave up, at no cost to its workspace.
    pub fn remove(&mut self, ticket: Ticket) -> Option<R> {
        let (workspace, place) = self.owners.remove(&ticket)?;
        let queue = self.queues.get_mut(&workspace)?;
        let request = queue.requests.remove(&place)?;
        queue.memory = queue.memory.saturating_sub(request.memory());
        if queue.requests.is_empty() {
            self.order.remove(&(sort_key(queue.virtual_start), workspace));
            // A queue behind the virtual time would start there anyway.
            let virtual_time = self.virtual_time;
            self.queues.retain(|_, q| !q.requests.is_empty() || q.virtual_start > virtual_time);
        }
        Some(request)
    }

    /// Returns the tickets of all requests for which `is_expired` is true.
    pub fn expired(&self, is_expired: impl Fn(&R) -> bool) -> Vec<Ticket> {
        let requests = self.queues.values().flat_map(|q| q.requests.values());
        requests.filter(|r| is_expired(r)).map(Queued::ticket).collect()
    }

    /// Returns how many requests would be taken before a new one of this workspace.
    pub fn ahead(&self, workspace: &WorkspaceId) -> usize {
        let own = self.queues.get(workspace).map_or(0, |q| q.requests.len());
        // Each other workspace gets one turn per request of this one.
        self.queues.values().map(|q| q.requests.len().min(own + 1)).sum::<usize>().min(self.len())
    }

    /// Returns the memory of the requests that would be taken before a new one.
    pub fn memory_ahead(&self, request: &R) -> u64 {
        let queue = self.queues.get(request.workspace());
        let place = (request.order(), u64::MAX);
        let ahead = queue.into_iter().flat_map(|q| q.requests.range(..place));
        let own = ahead.fold(0_u64, |sum, (_, r)| sum.saturating_add(r.memory()));
        // Each other workspace gets as much as this one.
        let share = own.saturating_add(request.memory());
        let others = self.queues.iter().filter(|(w, _)| *w != request.workspace());
        others.fold(own, |sum, (_, q)| sum.saturating_add(q.memory.min(share)))
    }

    /// Returns each waiting request with the memory of those that would be taken before it.
    pub fn waits(&self) -> Vec<(&R, u64)> {
        let mut totals: Vec<u64> = self.queues.values().map(|q| q.memory).collect();
        totals.sort_unstable();
        let sums: Vec<u64> = std::iter::once(0)
            .chain(totals.iter().scan(0_u64, |sum, total| {
                *sum = sum.saturating_add(*total);
                Some(*sum)
            }))
            .collect();
        // What all workspaces have taken when each has had `share` of memory.
        let taken = |share: u64| {
            let smaller = totals.partition_point(|total| *total <= share);
            sums[smaller].saturating_add(share.saturating_mul((totals.len() - smaller) as u64))
        };
        let mut waits = Vec::with_capacity(self.len());
        for queue in self.queues.values() {
            let mut own = 0_u64;
            for request in queue.requests.values() {
                own = own.saturating_add(request.memory());
                waits.push((request, taken(own).saturating_sub(request.memory())));
            }
        }
        waits
    }

    /// Returns the memory of all waiting requests.
    pub fn memory(&self) -> u64 {
        self.queues.values().fold(0, |sum, q| sum.saturating_add(q.memory))
    }

    /// Returns the number of waiting requests of a workspace.
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.queues.get(workspace).map_or(0, |q| q.requests.len())
    }

    /// Returns the number of workspaces with waiting requests.
    pub fn workspaces(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

/// Returns a key that sorts as `virtual_start`: the bits of positive floats sort as their values
/// do.
fn sort_key(virtual_start: f64) -> u64 {
    virtual_start.max(0.0).to_bits()
}
