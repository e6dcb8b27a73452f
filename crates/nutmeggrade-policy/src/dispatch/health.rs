//! Which endpoints fail.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time in which a failure loses most of its weight: a few heartbeats of an endpoint, after which the
/// registry has taken out one that died.
const FADE: Duration = Duration::from_secs(4);
/// First pause after an endpoint that could not be reached; one round trip is a few milliseconds, so
/// that a restarted endpoint is found again soon.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; by then the registry knows.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Part of the old weight that each success leaves.
const FORGIVEN: f64 = 0.7;

/// What an endpoint's own answers say of it.
///
/// Answers endpoints whose registration is fine while they fail or can't be reached. Without it each
/// instance goes on sending them their share, and one notices that a fixed part of all requests
/// fails until the registry drops the entry, or for good. An endpoint that could not be reached is
/// left alone for a pause that doubles; one that answers with failures is only less attractive, since
/// some kinds of request fail everywhere.
#[derive(Debug, Clone, Default)]
pub struct Health {
    trouble: f64,
    at: Moment,
    row: u32,
    until: Option<Moment>,
}

impl Health {
    /// Notes an answer that is no failure.
    pub fn succeeded(&mut self, now: Moment) {
        self.trouble = self.trouble(now) * FORGIVEN;
        self.at = now;
        self.row = 0;
        self.until = None;
    }

    /// Notes that the endpoint answered with a failure.
    pub fn failed(&mut self, now: Moment) {
        self.trouble = self.trouble(now) + 1.0;
        self.at = now;
    }

    /// Notes that the endpoint could not be reached, or fell silent or broke off.
    pub fn lost(&mut self, now: Moment) {
        self.failed(now);
        let pause = PAUSE.saturating_mul(1 << self.row.min(3));
        self.row += 1;
        self.until = Some(now.after(pause.min(LONGEST_PAUSE)));
    }

    /// Notes that nobody listened at the endpoint's address when another instance connected. The pause
    /// is short and does not double: the endpoint may have started anew.
    pub fn gone(&mut self, now: Moment) {
        let until = now.after(PAUSE);
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
    }

    /// Returns the recent failures, older ones with less weight.
    pub fn trouble(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / FADE.as_secs_f64();
        self.trouble * (-age).exp()
    }

    /// Says whether the endpoint is left alone for now.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
