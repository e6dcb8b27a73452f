//! Which endpoints this instance alone may use while they are cold.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::peer::Assignment;
use nutmeggrade_core::prelude::*;

use crate::cold_load::{ColdLoad, LoadSample, Slot};
use crate::invariant;
use crate::membership::Candidate;

/// Epochs that are remembered; only those within the longest lease matter.
const EPOCHS: usize = 8;
/// A wait is this many quarters of the lease: clocks of two machines may run apart, and what was
/// sent just before a lease ran out takes some time to arrive.
const WAIT_QUARTERS: u32 = 5;

#[derive(Debug)]
struct Seen {
    assignment: Assignment,
    at: Moment,
}

impl Seen {
    fn in_effect(&self) -> Moment {
        self.at.after(self.assignment.wait * WAIT_QUARTERS / 4)
    }
}

/// The right to use cold endpoints: one owner for each, under a lease.
///
/// An endpoint in cold start falls over under more than a little work, and seven instances that each
/// give it a little give it too much; one notices an engine that crashes again and again as it comes
/// up. So each has one owner at a time. Three rules keep it one. A right counts only while the last
/// answer of the platform that showed this epoch as the newest was *asked for* less than a lease
/// ago; whoever was frozen or cut off sees that gap on its own clock before it sends. A new epoch
/// takes effect only after the longest earlier lease, counted from the moment at which this instance
/// learned of it, since no earlier epoch can be confirmed any more from then on. And an owner that
/// takes over counts what the endpoint itself says it holds before it adds anything.
#[derive(Debug)]
pub struct ColdRights {
    own: InstanceId,
    incarnation: u64,
    epochs: VecDeque<Seen>,
    confirmed: Option<Moment>,
    loads: BTreeMap<EndpointId, ColdLoad>,
}

impl ColdRights {
    /// Makes a table without any right.
    pub fn new(own: &InstanceId, incarnation: u64) -> Self {
        Self {
            own: own.clone(),
            incarnation,
            epochs: VecDeque::new(),
            confirmed: None,
            loads: BTreeMap::new(),
        }
    }

    /// Takes the newest assignment as the platform showed it in an answer asked for at `asked`.
    pub fn learn(&mut self, assignment: &Assignment, asked: Moment, now: Moment) {
        self.hint(assignment, now);
        if assignment.epoch == self.epoch() {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Takes a peer's word on the newest assignment; it gives no right, but may end one.
    pub fn hint(&mut self, assignment: &Assignment, now: Moment) {
        let known = self.epoch();
        if assignment.epoch > known {
            self.epochs.push_back(Seen { assignment: assignment.clone(), at: now });
            self.confirmed = None;
        }
        if self.epochs.len() > EPOCHS {
            self.epochs.pop_front();
        }
        invariant::check(self.epoch() >= known, "epoch_never_reverts");
    }

    /// Returns the newest epoch known, 0 for none.
    pub fn epoch(&self) -> u64 {
        self.epochs.back().map_or(0, |s| s.assignment.epoch)
    }

    /// Returns the newest assignment known.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.epochs.back().map(|s| &s.assignment)
    }

    /// Returns the epoch under which this instance owns the endpoint now: the fencing number of
    /// orders. Asked immediately before each use.
    pub fn owner_epoch(&self, endpoint: &EndpointId, now: Moment) -> Option<u64> {
        self.owned_since(endpoint, now).map(|_| self.epoch())
    }

    /// Makes the next epoch if the members changed and this instance is the one to write it.
    ///
    /// `live` are the instances in service as this one sees them, itself included. The first by name
    /// that hears the platform writes; where views differ the conditional write lets one win, and
    /// the time between epochs keeps two views from replacing each other's without end.
    pub fn propose(
        &self,
        live: &BTreeMap<InstanceId, Candidate>,
        lease: Duration,
        now: Moment,
    ) -> Option<Assignment> {
        let writer = live.iter().find(|(_, c)| c.hears_platform);
        if writer.is_none_or(|(instance, _)| *instance != self.own) || !self.is_settled(now) {
            return None;
        }
        let members = live.iter().map(|(i, c)| (i.clone(), c.incarnation)).collect();
        let Some(newest) = self.assignment() else {
            return Some(Assignment::new(members, lease));
        };
        (newest.members != members).then(|| newest.next(members, lease))
    }

    /// Says whether the newest epoch has been in effect for as long as it took to get there; epochs
    /// that followed each other faster would leave cold endpoints without an owner for good.
    fn is_settled(&self, now: Moment) -> bool {
        self.epochs.back().is_none_or(|s| {
            let wait = s.in_effect().since(s.at);
            now.since(s.at) >= wait * 2
        })
    }

    /// Says whether a lease is of use now: this instance owns an endpoint that is not known warm.
    pub fn wants_lease(&self, now: Moment) -> bool {
        let owns = |e: &EndpointId| self.epochs.back().is_some_and(|s| self.is_owner(s, e));
        self.loads.iter().any(|(e, load)| load.is_cold(now) && owns(e))
    }

    /// Takes an endpoint's own word on its load.
    pub fn note_load(&mut self, endpoint: &EndpointId, sample: LoadSample) {
        self.loads.entry(endpoint.clone()).or_default().note_load(sample);
    }

    /// Forgets an endpoint's last word: it did not answer, so it may have started again, cold.
    pub fn forget_load(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.forget_load();
        }
    }

    /// Keeps only the endpoints that are listed or still hold something of this instance.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.loads.retain(|e, load| listed(e) || !load.is_empty());
    }

    /// Returns how many generations this instance may have on a cold endpoint now, in all.
    pub fn cold_right(&self, endpoint: &EndpointId, now: Moment) -> u32 {
        let Some(since) = self.owned_since(endpoint, now) else { return 0 };
        self.loads.get(endpoint).map_or(0, |load| load.own() + load.room(since))
    }

    /// Takes a place for one generation; the last check before its first byte goes out.
    ///
    /// On a warm endpoint the place is only counted, in case it turns cold. On a cold one it is
    /// given only to the owner and only if the endpoint bears it.
    pub fn take_slot(&mut self, endpoint: &EndpointId, slot: Slot, now: Moment) -> bool {
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

    /// Notes the first token of a generation: from now on the endpoint's reports contain it.
    pub fn note_started(&mut self, endpoint: &EndpointId, slot: Slot, now: Moment) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.note_started(slot, now);
        }
    }

    /// Gives a place back; it counts as taken until a later report of the endpoint.
    pub fn leave_slot(&mut self, endpoint: &EndpointId, slot: Slot, now: Moment) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.leave(slot, now);
        }
    }

    /// Returns since when this instance alone has owned the endpoint, if it does now.
    fn owned_since(&self, endpoint: &EndpointId, now: Moment) -> Option<Moment> {
        let newest = self.epochs.back()?;
        let fresh = now.since(self.confirmed?) < newest.assignment.lease;
        if !fresh || !self.is_owner(newest, endpoint) {
            return None;
        }
        // An owner that holds the owner from one epoch to the next has nobody to wait for.
        let mut first = newest;
        for earlier in self.epochs.iter().rev().skip(1) {
            let follows = earlier.assignment.epoch + 1 == first.assignment.epoch;
            if !follows || !self.is_owner(earlier, endpoint) {
                break;
            }
            first = earlier;
        }
        let since = first.in_effect();
        (now >= since).then_some(since)
    }

    fn is_owner(&self, seen: &Seen, endpoint: &EndpointId) -> bool {
        let owner = seen.assignment.owner(endpoint);
        owner.is_some_and(|(i, life)| *i == self.own && life == self.incarnation)
    }
}
