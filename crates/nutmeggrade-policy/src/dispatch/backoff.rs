//! Pauses that endpoints ask for.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use crate::fleet::Turn;

/// Interval between the requests that try an endpoint after its pause, until it serves one: some
/// times as long as a rejection takes.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Requests in a pause that continue work which the endpoint has already; without them the work is
/// lost.
const MAX_ESSENTIAL: u32 = 1;

/// A pause that an endpoint asked this instance for when it rejected a request.
///
/// An endpoint that rejects everything holds no requests and looks like the emptiest one, so load
/// alone would send it most requests. It gets none until the pause is over, and then single ones
/// until it serves one: all that wait would otherwise be rejected in the same moment.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    turn: Turn,
    until: Moment,
    essential: u32,
}

impl Backoff {
    /// Creates a pause that begins now.
    pub fn new(time: Duration, now: Moment) -> Self {
        let until = now.after(time);
        Self { turn: Turn { next: until, interval: TRIAL_INTERVAL }, until, essential: 0 }
    }

    /// Records another rejection. It doesn't end an earlier pause that lasts longer.
    pub fn extend(&mut self, time: Duration, now: Moment) {
        if !self.is_active(now) {
            self.essential = 0;
        }
        self.until = self.until.max(now.after(time));
        self.turn.next = self.turn.next.max(self.until);
    }

    /// Returns whether the pause lasts.
    pub fn is_active(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the end of the pause.
    pub const fn until(&self) -> Moment {
        self.until
    }

    /// Returns when the next request may be sent.
    pub const fn turn(&self) -> Turn {
        self.turn
    }

    /// Records a request to the endpoint.
    pub fn record_sent(&mut self, now: Moment) {
        self.turn.take(now);
    }

    /// Takes a request that continues work of the endpoint; returns whether it may be sent now.
    pub const fn take_essential(&mut self) -> bool {
        let is_left = self.essential < MAX_ESSENTIAL;
        if is_left {
            self.essential += 1;
        }
        is_left
    }
}
