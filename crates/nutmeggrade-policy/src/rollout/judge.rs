//! The decision how far a roll-out may go.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::rollout::{RolloutPhase, RolloutTally};

use super::{Capacity, ExposureBound, Facts, Verdict, compare};

/// Time between two kept states of the tally.
const KEPT_EVERY: Duration = Duration::from_millis(500);
/// Spans of the recent past that are judged by themselves: a version may turn bad later, and what it did
/// before would hide it.
const SPANS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(8)];
/// Time after the order in which all instances hear of it.
const SETTLING: Duration = Duration::from_millis(300);
/// Part of the bound on exposure that is used while the version is watched.
const WATCHING: f64 = 0.4;
/// Part of the bound that is used in all. The rest covers requests that are counted late, and instances
/// that died with what they counted.
const USED: f64 = 0.9;
/// Least and most part of the requests that the new version gets while it is watched.
const SHARES: (f64, f64) = (0.01, 0.5);
/// Answers of the new version up to which it gets half of its part.
const FIRST_ANSWERS: u32 = 10;
/// Time before the end at which a roll-out of a service without generations begins to switch: its longest
/// calls have ended by then.
const PLAIN_LEAD: Duration = Duration::from_millis(1_800);
/// The same where generations have to move.
const STREAM_LEAD: Duration = Duration::from_secs(5);
/// Time before the end at which a version that was not shown to be good is given up.
const GIVE_UP: Duration = Duration::from_millis(500);
/// Time after the end from which on requests count as no exposure on any instance's clock.
const PAST_END: Duration = Duration::from_millis(400);
/// Time after the end for which a version is watched that got all new requests only at the end.
const PATIENCE: Duration = Duration::from_secs(10);
/// How many requests a new version must be able to work on for each that runs.
const HEADROOM: f64 = 1.5;
/// Least time for which a new version is watched that gets all new requests, before the old one stops.
const SWITCHED: Duration = Duration::from_millis(800);
/// Time for which a service without endpoints of another version is watched before the order is fulfilled.
const SAME_VERSION: Duration = Duration::from_secs(2);

/// What is decided of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct Ruling {
    /// How far it goes.
    pub phase: RolloutPhase,
    /// Part of the requests that the new version gets in [`RolloutPhase::Canary`].
    pub share: f64,
    /// What the evidence says.
    pub verdict: Verdict,
    /// Why the phase changes, if it does.
    pub why: &'static str,
}

/// Decides how far one roll-out may go.
///
/// The new version gets a canary's part for most of the order's time. The switch comes so late that a version
/// which turns bad in that moment stays within the bound on exposure. In doubt the roll-out is reverted: that
/// can be repeated, while a completed one has no old endpoints to return to.
#[derive(Debug)]
pub struct Judge {
    bound: ExposureBound,
    kept: VecDeque<(Duration, RolloutTally)>,
    /// When all new requests began to go to the new version, and what was counted by then.
    switched: Option<(Duration, RolloutTally)>,
}

impl Judge {
    /// Makes a judge that has seen nothing.
    pub const fn new(bound: ExposureBound) -> Self {
        Self { bound, kept: VecDeque::new(), switched: None }
    }

    /// Decides how far the roll-out goes now.
    pub fn rule(&mut self, facts: &Facts) -> Ruling {
        if facts.phase.is_switched() && self.switched.is_none() {
            self.switched = Some((facts.age, facts.tally.clone()));
        }
        let verdict = self.verdict(facts);
        let (phase, why) = self.next(facts, &verdict);
        let grants = phase == RolloutPhase::Canary && facts.has_quorum;
        let share = if grants { self.share(facts) } else { 0.0 };
        Ruling { phase, share, verdict, why }
    }

    /// Judges all that was counted and what was counted lately; the worst verdict counts.
    fn verdict(&mut self, facts: &Facts) -> Verdict {
        let is_due = |(at, _): &(Duration, RolloutTally)| facts.age >= *at + KEPT_EVERY;
        if self.kept.back().is_none_or(is_due) {
            self.kept.push_back((facts.age, facts.tally.clone()));
        }
        while self.kept.front().is_some_and(|(at, _)| *at + SPANS[1] + KEPT_EVERY < facts.age) {
            self.kept.pop_front();
        }
        let whole = compare(&facts.tally);
        if whole != Verdict::Good && whole != Verdict::Unclear {
            return whole;
        }
        for span in SPANS {
            let since = facts.age.saturating_sub(span);
            let Some((_, before)) = self.kept.iter().rev().find(|(at, _)| *at <= since) else {
                continue;
            };
            let recent = compare(&facts.tally.since(before));
            if matches!(recent, Verdict::Bad { .. } | Verdict::Suspect) {
                return recent;
            }
        }
        match &self.switched {
            Some((_, before)) => compare(&facts.tally.with_new_version_since(before)),
            None => whole,
        }
    }

    fn next(&self, facts: &Facts, verdict: &Verdict) -> (RolloutPhase, &'static str) {
        use RolloutPhase::{Canary, Cleared, Held, Reverting, Switching};
        let phase = facts.phase;
        if phase >= Reverting {
            return (phase, "");
        }
        if matches!(verdict, Verdict::Bad { .. }) {
            return (Reverting, "bad");
        }
        let Capacity { has_old, has_new, .. } = facts.capacity;
        let is_alone = has_new && !has_old;
        let is_late = facts.age + GIVE_UP >= facts.duration;
        match phase {
            _ if !facts.has_quorum => (phase, ""),
            Held | Canary if is_alone && facts.age >= SAME_VERSION => (Cleared, "no other version"),
            Held if is_late => (Reverting, "nothing to try"),
            Held if facts.age >= SETTLING && facts.capacity.new_slots > 0 => (Canary, "ready"),
            Canary if *verdict != Verdict::Good && is_late => (Reverting, "not shown to be good"),
            Canary if !Self::bears(facts) && is_late => (Reverting, "too few endpoints"),
            Canary if *verdict == Verdict::Good && Self::bears(facts) && self.fits(facts) => {
                (Switching, "good")
            }
            Switching if *verdict != Verdict::Good && facts.age >= facts.duration + PATIENCE => {
                (Reverting, "not shown to be good under load")
            }
            Switching if *verdict == Verdict::Good && facts.is_clear && self.is_watched(facts) => {
                (Cleared, "nothing runs at other versions")
            }
            _ => (phase, ""),
        }
    }

    /// Says whether the new version got all new requests for long enough.
    fn is_watched(&self, facts: &Facts) -> bool {
        self.switched.as_ref().is_some_and(|(at, _)| facts.age >= *at + SWITCHED)
    }

    /// Says whether the new version's endpoints bear the service's load.
    fn bears(facts: &Facts) -> bool {
        let Capacity { old_slots, new_slots, running, .. } = facts.capacity;
        f64::from(new_slots) >= f64::from(old_slots).min(f64::from(running) * HEADROOM)
            && new_slots > 0
    }

    /// Says whether the roll-out may switch now: it is nearly over, and all that the new version gets until
    /// then stays within the bound even if it is bad.
    fn fits(&self, facts: &Facts) -> bool {
        if facts.age >= facts.duration + PAST_END {
            return true;
        }
        let left = facts.duration.saturating_sub(facts.age);
        let lead = if facts.movable > 0 { STREAM_LEAD } else { PLAIN_LEAD };
        if left > lead {
            return false;
        }
        let left = left.as_secs_f64();
        let Some(rate) = self.rate(facts) else { return false };
        let expected = f64::from(facts.tally.requests) + rate * left;
        let exposed = f64::from(facts.tally.exposed) + f64::from(facts.movable) + rate * left;
        exposed <= self.bound.of(expected) * USED
    }

    /// Returns the part of the requests that the new version gets while it is watched.
    fn share(&self, facts: &Facts) -> f64 {
        let left = facts.duration.saturating_sub(facts.age).as_secs_f64();
        let Some(rate) = self.rate(facts) else { return SHARES.0 };
        let expected = f64::from(facts.tally.requests) + rate * left;
        let allowed = self.bound.of(expected) * WATCHING - f64::from(facts.tally.exposed);
        if allowed <= 0.0 {
            return 0.0;
        }
        let share = (allowed / (rate * left).max(1.0)).clamp(SHARES.0, SHARES.1);
        let is_first = facts.tally.all_routes().new.count() < FIRST_ANSWERS;
        if is_first { share / 2.0 } else { share }
    }

    /// Returns the service's requests a second, once they were counted for long enough.
    fn rate(&self, facts: &Facts) -> Option<f64> {
        let (at, before) = self.kept.front().filter(|(at, _)| facts.age >= *at + KEPT_EVERY)?;
        let requests = facts.tally.requests.saturating_sub(before.requests);
        Some(f64::from(requests) / facts.age.saturating_sub(*at).as_secs_f64())
    }
}
