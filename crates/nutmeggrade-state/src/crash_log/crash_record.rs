//! Crashes that count against one suspect.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// An incarnation of an endpoint: its id and start time.
pub type Incarnation = (EndpointId, u64);

/// Time after its last crash for which a suspect is held: longer than its clients keep resending it,
/// and short enough that repaired endpoints are tried again.
pub const HOLD_PERIOD: Duration = Duration::from_mins(2);
/// Longest hold of a suspect that crashed endpoints again after earlier holds.
const MAX_HOLD_PERIOD: Duration = Duration::from_mins(30);
/// Time after a hold in which one crash is enough for the next.
const PROBATION: Duration = Duration::from_mins(10);
/// Maximum number of crashes, of which the latest are kept; a culprit has a few.
const MAX_CRASHES: usize = 32;
/// Shortest time for which an answer has to go on to show that it crashes no endpoint.
const MIN_SURVIVAL: Duration = Duration::from_secs(1);
/// The same, as a multiple of the longest time that an answer went on before a crash.
const SURVIVAL_FACTOR: u32 = 2;

/// End of an endpoint under a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub ending: Incarnation,
    /// Until when the crash counts in a first hold.
    pub until: Moment,
    /// Shortest time from the beginning of an answer with the suspect to the end.
    pub alive: Duration,
}

impl Crash {
    /// Creates a crash that was noticed at `at`.
    pub fn new(ending: Incarnation, at: Moment, alive: Duration) -> Self {
        Self { ending, until: at.after(HOLD_PERIOD), alive }
    }

    /// Returns when the endpoint ended, or was noticed to have; not before this instance's start.
    pub fn at(&self) -> Moment {
        Moment::new(self.until.since(Moment::new(HOLD_PERIOD)))
    }

    /// Returns when the youngest answer with the suspect began, if one had.
    pub fn began_at(&self) -> Moment {
        Moment::new(self.at().since(Moment::new(self.alive)))
    }
}

/// Crashes that count against one suspect.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord {
    /// Crashes, one for each incarnation of an endpoint.
    pub crashes: Vec<Crash>,
    /// Longest time that an answer went on before a crash.
    longest_alive: Duration,
    /// Number of holds that have ended.
    holds: u32,
    /// Whether peers were told of a completion since the crashes began.
    pub is_announced: bool,
    /// When the record was last changed.
    changed_at: Moment,
}

impl CrashRecord {
    /// Adds a crash; returns the number of crashes if it is new.
    pub fn add(&mut self, crash: Crash) -> Option<usize> {
        self.changed_at = self.changed_at.max(crash.at());
        if let Some(known) = self.crashes.iter_mut().find(|c| c.ending == crash.ending) {
            known.alive = known.alive.min(crash.alive);
            return None;
        }
        self.longest_alive = self.longest_alive.max(crash.alive);
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.reserve_exact(1);
        self.crashes.push(crash);
        Some(self.crashes.len())
    }

    /// Drops what was seen up to a moment.
    pub fn refute(&mut self, at: Moment) {
        self.crashes.retain(|c| c.until > at.after(HOLD_PERIOD));
        self.is_announced &= !self.crashes.is_empty();
        self.holds = 0;
    }

    /// Returns how long an answer has to go on to show that the suspect crashes no endpoint.
    pub fn survival_time(&self) -> Duration {
        self.longest_alive.saturating_mul(SURVIVAL_FACTOR).max(MIN_SURVIVAL)
    }

    /// Returns when the first crash was seen.
    pub fn first_crash(&self) -> Option<Moment> {
        self.crashes.iter().map(Crash::at).min()
    }

    /// Returns the end of the hold that the crashes cause.
    pub fn hold_end(&self) -> Option<Moment> {
        let period = HOLD_PERIOD.saturating_mul(1 << self.holds.min(8)).min(MAX_HOLD_PERIOD);
        self.crashes.iter().map(|c| c.until.after(period.saturating_sub(HOLD_PERIOD))).max()
    }

    /// Returns whether the suspect has been held before, so that one more crash is enough.
    pub const fn is_on_probation(&self) -> bool {
        self.holds > 0
    }

    /// Drops what has expired; returns whether anything is left. `is_held` is set if the suspect was
    /// held until now.
    pub fn expire(&mut self, is_held: bool, now: Moment) -> bool {
        if self.hold_end().is_some_and(|end| end <= now) {
            self.crashes.clear();
            self.holds += u32::from(is_held);
            self.changed_at = now;
        }
        let retention = if self.is_on_probation() { PROBATION } else { HOLD_PERIOD };
        !self.crashes.is_empty()
            || (self.longest_alive > Duration::ZERO || self.is_on_probation())
                && now.since(self.changed_at) < retention
    }

    /// Returns what the record is worth when there are too many.
    pub fn weight(&self) -> (bool, usize, Moment) {
        (self.is_on_probation(), self.crashes.len(), self.changed_at)
    }
}
