//! One roll-out as one instance knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    RolloutNotice, RolloutOrder, RolloutPhase, RolloutState, RolloutTally, StoredRollout,
};

use super::peer_count::PeerCount;

/// Time for which a part of the requests stays granted: a few heartbeats of whoever grants it. An instance
/// that hears no more of it sends the new version nothing.
const GRANTED: Duration = Duration::from_secs(1);
/// Time in which an order has to be decided that gives none.
const DEFAULT_DURATION: Duration = Duration::from_mins(1);

/// One roll-out as one instance knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The order.
    pub order: RolloutOrder,
    /// Newest revision of the store's object that is known.
    pub revision: u64,
    /// The last phase that the store stands for.
    pub stored: RolloutPhase,
    /// Whether a state was written.
    pub is_begun: bool,
    /// How far it is.
    pub phase: RolloutPhase,
    /// How old the order was at a moment of this instance's clock, which may have begun after it.
    known: (Moment, Duration),
    /// When this instance learned that it is over; unset if it was so from the start.
    pub over: Option<Moment>,
    /// What this instance counted.
    pub own: RolloutTally,
    /// What peers counted, by life.
    pub peers: BTreeMap<(InstanceId, u64), PeerCount>,
    /// What the evidence says, where this instance judges it.
    pub verdict: &'static str,
    share: f64,
    until: Moment,
    grants: f64,
}

impl Entry {
    /// Makes an entry of an order that is `age` old, as the store's object is at a revision.
    pub fn new(
        (order, revision): (&RolloutOrder, u64),
        phase: RolloutPhase,
        age: Duration,
        now: Moment,
    ) -> Self {
        Self {
            order: order.clone(),
            revision,
            stored: RolloutPhase::Held,
            is_begun: false,
            phase,
            known: (now, age),
            over: None,
            own: RolloutTally::default(),
            peers: BTreeMap::new(),
            verdict: "",
            share: 0.0,
            until: Moment::ZERO,
            grants: 0.0,
        }
    }

    /// Takes what the store says; says whether the phase changed.
    pub fn take(&mut self, stored: &StoredRollout, now: Moment) -> bool {
        if stored.revision < self.revision {
            return false;
        }
        self.revision = stored.revision;
        self.order = stored.order.clone();
        self.stored = self.stored.max(stored.phase);
        self.is_begun |= stored.is_begun;
        self.advance(stored.phase, now)
    }

    /// Enters a later phase; says whether it is one.
    pub fn advance(&mut self, phase: RolloutPhase, now: Moment) -> bool {
        if phase <= self.phase {
            return false;
        }
        self.phase = phase;
        if phase.is_over() {
            self.over.get_or_insert(now);
        }
        true
    }

    /// Takes a peer's word; says whether the phase changed.
    pub fn hear(&mut self, notice: &RolloutNotice, now: Moment) -> bool {
        self.revision = self.revision.max(notice.revision);
        if notice.age > self.age(now) {
            self.known = (now, notice.age);
        }
        if notice.share > 0.0 {
            self.set_share(f64::from(notice.share), now);
        }
        self.advance(notice.phase, now)
    }

    /// Grants a part of the requests to the new version, for peers to hear.
    pub fn grant(&mut self, share: f64, now: Moment) {
        self.grants = share;
        self.set_share(share, now);
    }

    /// Grants nothing any more, as another instance judges.
    pub fn stop_granting(&mut self) {
        self.grants = 0.0;
    }

    fn set_share(&mut self, share: f64, now: Moment) {
        self.share = share;
        self.until = now.after(GRANTED);
    }

    /// Returns the part of the requests that may go to the new version now.
    pub fn share(&self, now: Moment) -> f64 {
        if self.phase == RolloutPhase::Canary && now <= self.until { self.share } else { 0.0 }
    }

    /// Returns how long the order is known in the fleet.
    pub fn age(&self, now: Moment) -> Duration {
        let (at, age) = self.known;
        age + now.since(at)
    }

    /// Returns the time in which it has to be decided.
    pub fn duration(&self) -> Duration {
        let given = self.order.duration;
        if given.is_zero() { DEFAULT_DURATION } else { given }
    }

    /// Returns the order as it lies in the store.
    pub fn stored_rollout(&self) -> StoredRollout {
        StoredRollout {
            order: self.order.clone(),
            revision: self.revision,
            phase: self.stored,
            is_begun: self.is_begun,
        }
    }

    /// Returns what peers are told.
    #[expect(clippy::cast_possible_truncation, reason = "a part needs few digits")]
    pub fn notice(&self, now: Moment) -> RolloutNotice {
        RolloutNotice {
            order: self.order.clone(),
            revision: self.revision,
            phase: self.phase,
            share: if self.phase == RolloutPhase::Canary { self.grants as f32 } else { 0.0 },
            age: self.age(now),
        }
    }

    /// Returns the state that the store should hold but does not.
    pub fn unwritten(&self) -> Option<RolloutState> {
        if self.stored.is_over() {
            return None;
        }
        match self.phase {
            RolloutPhase::Cleared => Some(RolloutState::Completed),
            RolloutPhase::Reverting => Some(RolloutState::Reverted),
            RolloutPhase::Held | RolloutPhase::Canary | RolloutPhase::Switching => {
                (!self.is_begun).then_some(RolloutState::InProgress)
            }
            _ => None,
        }
    }

    /// Returns what this instance and its peers counted.
    pub fn tally(&self) -> RolloutTally {
        let mut all = self.own.clone();
        for peer in self.peers.values() {
            all.merge(&peer.tally);
        }
        all
    }
}
