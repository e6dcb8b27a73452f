//! Exclusive rights of this instance to use cold endpoints.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::peer::Assignment;
use nutmeggrade_core::prelude::*;

use crate::cold_load::{ColdLoad, LoadSample, SlotId};
use crate::invariant;
use crate::membership::Candidate;

/// Number of epochs that are stored; only those within the longest lease matter.
const MAX_EPOCHS: usize = 8;
/// Waiting time in quarters of the lease. The excess covers clock drift between two machines and
/// the transit of requests sent just before a lease expired.
const WAIT_QUARTERS: u32 = 5;

#[derive(Debug)]
struct KnownEpoch {
    assignment: Assignment,
    learned_at: Moment,
}

impl KnownEpoch {
    fn effective_at(&self) -> Moment {
        self.learned_at.after(self.assignment.wait * WAIT_QUARTERS / 4)
    }
}

/// Exclusive rights to use cold endpoints: each has one owner, under a lease.
///
/// An endpoint in cold start crashes under more than a little work, and seven instances that each
/// send a little send too much; the symptom is an engine that crashes repeatedly as it starts. So
/// each cold endpoint has one owner at a time, by three rules. A right is valid only while the last
/// platform response that showed this epoch as the newest was *requested* less than a lease ago; an
/// instance that was frozen or partitioned detects that gap on its own clock before it sends. A new
/// epoch takes effect only after the longest earlier lease, counted from the moment at which this
/// instance learned of the epoch, since no earlier epoch can be confirmed after that moment. And a
/// new owner takes the endpoint's own load report into account before it adds any work.
#[derive(Debug)]
pub struct ColdRights {
    own_id: InstanceId,
    incarnation: u64,
    epochs: VecDeque<KnownEpoch>,
    confirmed: Option<Moment>,
    loads: BTreeMap<EndpointId, ColdLoad>,
}

impl ColdRights {
    /// Creates a table without any right.
    pub fn new(own_id: &InstanceId, incarnation: u64) -> Self {
        Self {
            own_id: own_id.clone(),
            incarnation,
            epochs: VecDeque::new(),
            confirmed: None,
            loads: BTreeMap::new(),
        }
    }

    /// Processes the newest assignment from a platform response, requested at `requested_at`.
    pub fn confirm_assignment(
        &mut self,
        assignment: &Assignment,
        requested_at: Moment,
        now: Moment,
    ) {
        self.note_peer_assignment(assignment, now);
        if assignment.epoch == self.epoch() {
            self.confirmed = self.confirmed.max(Some(requested_at));
        }
    }

    /// Processes the newest assignment known to a peer; it grants no right but may end one.
    pub fn note_peer_assignment(&mut self, assignment: &Assignment, now: Moment) {
        let known = self.epoch();
        if assignment.epoch > known {
            self.epochs.push_back(KnownEpoch { assignment: assignment.clone(), learned_at: now });
            self.confirmed = None;
        }
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.pop_front();
        }
        invariant::check(self.epoch() >= known, "epoch_never_reverts");
    }

    /// Returns the newest known epoch, 0 for none.
    pub fn epoch(&self) -> u64 {
        self.epochs.back().map_or(0, |epoch| epoch.assignment.epoch)
    }

    /// Returns the newest known assignment.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.epochs.back().map(|epoch| &epoch.assignment)
    }

    /// Returns the epoch under which this instance currently owns the endpoint, which is the
    /// fencing number of orders. Call it immediately before each use.
    pub fn owner_epoch(&self, endpoint: &EndpointId, now: Moment) -> Option<u64> {
        self.owned_since(endpoint, now).map(|_| self.epoch())
    }

    /// Creates the next epoch if the members changed and this instance is the one to write it.
    ///
    /// `live` are the instances in service as seen by this one, itself included. The first by name
    /// with contact to the platform writes. If views differ, the conditional write lets one win,
    /// and the minimum time between epochs keeps two views from replacing each other endlessly.
    pub fn propose(
        &self,
        live: &BTreeMap<InstanceId, Candidate>,
        lease: Duration,
        now: Moment,
    ) -> Option<Assignment> {
        let writer = live.iter().find(|(_, c)| c.platform_reachable);
        if writer.is_none_or(|(instance, _)| *instance != self.own_id) || !self.is_settled(now) {
            return None;
        }
        let members = live.iter().map(|(i, c)| (i.clone(), c.incarnation)).collect();
        let Some(newest) = self.assignment() else {
            return Some(Assignment::new(members, lease));
        };
        (newest.members != members).then(|| newest.next(members, lease))
    }

    /// Returns whether the newest epoch has been in effect for as long as its waiting time. Epochs
    /// that followed each other faster would leave cold endpoints without an owner for good.
    fn is_settled(&self, now: Moment) -> bool {
        self.epochs.back().is_none_or(|epoch| {
            let wait = epoch.effective_at().since(epoch.learned_at);
            now.since(epoch.learned_at) >= wait * 2
        })
    }

    /// Returns whether this instance needs its lease: it owns an endpoint that is not known to be
    /// warm.
    pub fn needs_lease(&self, now: Moment) -> bool {
        let is_own =
            |e: &EndpointId| self.epochs.back().is_some_and(|epoch| self.is_owner(epoch, e));
        self.loads.iter().any(|(e, load)| load.is_cold(now) && is_own(e))
    }

    /// Stores an endpoint's own load report.
    pub fn note_load(&mut self, endpoint: &EndpointId, sample: LoadSample) {
        self.loads.entry(endpoint.clone()).or_default().note_load(sample);
    }

    /// Drops an endpoint's last load report: it did not respond, so it may have restarted cold.
    pub fn forget_load(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.forget_load();
        }
    }

    /// Keeps only the endpoints that are listed or still have slots of this instance.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.loads.retain(|e, load| listed(e) || !load.is_empty());
    }

    /// Returns the total number of generations that this instance may currently have at a cold
    /// endpoint.
    pub fn cold_right(&self, endpoint: &EndpointId, now: Moment) -> u32 {
        let Some(since) = self.owned_since(endpoint, now) else { return 0 };
        self.loads.get(endpoint).map_or(0, |load| load.own_count() + load.room(since))
    }

    /// Takes a slot for one generation; this is the last check before its first byte is sent.
    ///
    /// At a warm endpoint the slot is only counted, in case the endpoint turns cold. At a cold one
    /// only the owner gets a slot, within the endpoint's limit.
    pub fn take_slot(&mut self, endpoint: &EndpointId, slot: SlotId, now: Moment) -> bool {
        let since = self.owned_since(endpoint, now);
        let load = self.loads.entry(endpoint.clone()).or_default();
        if !load.is_cold(now) {
            load.take(slot);
            return true;
        }
        let Some(since) = since else { return false };
        if load.room(since) == 0 {
            return false;
        }
        load.take(slot);
        invariant::check(load.fits(since), "cold_limit_kept");
        true
    }

    /// Records the first token of a generation: from then on the endpoint's reports contain it.
    pub fn note_started(&mut self, endpoint: &EndpointId, slot: SlotId, now: Moment) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.note_started(slot, now);
        }
    }

    /// Releases a slot, which counts as taken until a later report of the endpoint.
    pub fn leave_slot(&mut self, endpoint: &EndpointId, slot: SlotId, now: Moment) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.leave(slot, now);
        }
    }

    /// Returns since when this instance has been the sole owner of the endpoint, if it currently
    /// is.
    fn owned_since(&self, endpoint: &EndpointId, now: Moment) -> Option<Moment> {
        let newest = self.epochs.back()?;
        let is_confirmed = now.since(self.confirmed?) < newest.assignment.lease;
        if !is_confirmed || !self.is_owner(newest, endpoint) {
            return None;
        }
        // An instance that owned the endpoint in the preceding epochs need not wait for itself.
        let mut first = newest;
        for earlier in self.epochs.iter().rev().skip(1) {
            let follows = earlier.assignment.epoch + 1 == first.assignment.epoch;
            if !follows || !self.is_owner(earlier, endpoint) {
                break;
            }
            first = earlier;
        }
        let since = first.effective_at();
        (now >= since).then_some(since)
    }

    fn is_owner(&self, known: &KnownEpoch, endpoint: &EndpointId) -> bool {
        let owner = known.assignment.owner(endpoint);
        owner.is_some_and(|(i, incarnation)| *i == self.own_id && incarnation == self.incarnation)
    }
}
