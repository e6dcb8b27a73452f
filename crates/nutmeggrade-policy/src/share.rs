//! What peers let in that no report or heartbeat shows yet.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Mean age of what heartbeats and reports show.
const UNSEEN: Duration = Duration::from_millis(700);

/// Sum of what this instance let in lately, fading as reports and heartbeats come to show it.
///
/// Answers seven instances that see the same free room at once. Each fills it, and the engine gets
/// seven times what it bears; the next report sends all of them elsewhere. Since requests are spread
/// over instances, the peers let in about as much as this one does: each own admission counts once
/// more for each peer until it shows. All together then stay within the room, and an instance that
/// is alone loses a second, not room.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unseen {
    sum: f64,
    at: Moment,
}

impl Unseen {
    /// Makes a sum of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `amount` was let in.
    pub fn add(&mut self, amount: f64, now: Moment) {
        self.sum = self.now(Duration::ZERO, now) + amount;
        self.at = now;
    }

    /// Returns what one peer probably let in unseen, with reports of this age.
    pub fn now(&self, age: Duration, now: Moment) -> f64 {
        let fade = UNSEEN.max(age).as_secs_f64();
        self.sum * (-now.since(self.at).as_secs_f64() / fade).exp()
    }
}
