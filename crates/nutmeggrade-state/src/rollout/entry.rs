//! State of one rollout, as seen by one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    RolloutNotice, RolloutOrder, RolloutPhase, RolloutState, RolloutTally, StoredRollout,
};

use super::peer_count::PeerCount;

/// Validity of a granted share of the requests: a few heartbeats of the granting instance. An
/// instance that receives no further grant sends nothing to the new version.
const GRANT_VALIDITY: Duration = Duration::from_secs(1);
/// Time limit for the decision if the order sets none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_mins(1);

/// State of one rollout, as seen by one instance.
#[derive(Debug, Clone)]
pub struct RolloutEntry {
    /// The order.
    pub order: RolloutOrder,
    /// Newest known revision of the store object.
    pub revision: u64,
    /// The last phase recorded in the store.
    pub stored_phase: RolloutPhase,
    /// Whether the store records that the rollout has begun.
    pub is_begun: bool,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Age of the order at a moment of this instance's clock, which may have started after the
    /// order.
    known_age: (Moment, Duration),
    /// When this instance learned that the rollout is over; `None` if it was over when first seen.
    pub over_since: Option<Moment>,
    /// Counts of this instance.
    pub own_tally: RolloutTally,
    /// Counts of the peers, by incarnation.
    pub peer_counts: BTreeMap<(InstanceId, u64), PeerCount>,
    /// Verdict on the evidence, if this instance is the judge.
    pub verdict: &'static str,
    share: f64,
    granted_until: Moment,
    own_grant: f64,
}

impl RolloutEntry {
    /// Creates the entry of an order of the given age, from the store object at a revision.
    pub fn new(
        (order, revision): (&RolloutOrder, u64),
        phase: RolloutPhase,
        age: Duration,
        now: Moment,
    ) -> Self {
        Self {
            order: order.clone(),
            revision,
            stored_phase: RolloutPhase::Held,
            is_begun: false,
            phase,
            known_age: (now, age),
            over_since: None,
            own_tally: RolloutTally::default(),
            peer_counts: BTreeMap::new(),
            verdict: "",
            share: 0.0,
            granted_until: Moment::ZERO,
            own_grant: 0.0,
        }
    }

    /// Applies the stored rollout; returns whether the phase changed.
    pub fn apply_stored(&mut self, stored: &StoredRollout, now: Moment) -> bool {
        if stored.revision < self.revision {
            return false;
        }
        self.revision = stored.revision;
        self.order = stored.order.clone();
        self.stored_phase = self.stored_phase.max(stored.phase);
        self.is_begun |= stored.is_begun;
        self.advance(stored.phase, now)
    }

    /// Enters a phase if it is later than the current one; returns whether it is.
    pub fn advance(&mut self, phase: RolloutPhase, now: Moment) -> bool {
        if phase <= self.phase {
            return false;
        }
        self.phase = phase;
        if phase.is_over() {
            self.over_since.get_or_insert(now);
        }
        true
    }

    /// Applies a peer's notice; returns whether the phase changed.
    pub fn apply_notice(&mut self, notice: &RolloutNotice, now: Moment) -> bool {
        self.revision = self.revision.max(notice.revision);
        if notice.age > self.age(now) {
            self.known_age = (now, notice.age);
        }
        if notice.share > 0.0 {
            self.set_share(f64::from(notice.share), now);
        }
        self.advance(notice.phase, now)
    }

    /// Grants a share of the requests to the new version, for the peers too.
    pub fn grant(&mut self, share: f64, now: Moment) {
        self.own_grant = share;
        self.set_share(share, now);
    }

    /// Stops granting, because another instance judges.
    pub fn stop_granting(&mut self) {
        self.own_grant = 0.0;
    }

    fn set_share(&mut self, share: f64, now: Moment) {
        self.share = share;
        self.granted_until = now.after(GRANT_VALIDITY);
    }

    /// Returns the share of the requests that may currently go to the new version.
    pub fn share(&self, now: Moment) -> f64 {
        if self.phase == RolloutPhase::Canary && now <= self.granted_until {
            self.share
        } else {
            0.0
        }
    }

    /// Returns how long the order has been known in the fleet.
    pub fn age(&self, now: Moment) -> Duration {
        let (at, age) = self.known_age;
        age + now.since(at)
    }

    /// Returns the time limit for the decision.
    pub fn time_limit(&self) -> Duration {
        let time_limit = self.order.duration;
        if time_limit.is_zero() { DEFAULT_TIME_LIMIT } else { time_limit }
    }

    /// Returns the order as recorded in the store.
    pub fn stored_rollout(&self) -> StoredRollout {
        StoredRollout {
            order: self.order.clone(),
            revision: self.revision,
            phase: self.stored_phase,
            is_begun: self.is_begun,
        }
    }

    /// Returns the notice for the peers.
    #[expect(clippy::cast_possible_truncation, reason = "f32 is precise enough for a share")]
    pub fn notice(&self, now: Moment) -> RolloutNotice {
        RolloutNotice {
            order: self.order.clone(),
            revision: self.revision,
            phase: self.phase,
            share: if self.phase == RolloutPhase::Canary { self.own_grant as f32 } else { 0.0 },
            age: self.age(now),
        }
    }

    /// Returns the state that the store should contain but does not.
    pub fn unwritten_state(&self) -> Option<RolloutState> {
        if self.stored_phase.is_over() {
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

    /// Returns the combined counts of this instance and its peers.
    pub fn tally(&self) -> RolloutTally {
        let mut total = self.own_tally.clone();
        for peer in self.peer_counts.values() {
            total.merge(&peer.tally);
        }
        total
    }
}
