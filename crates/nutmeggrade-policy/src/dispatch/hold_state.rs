//! What is known of one engine's free capacity.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Number of priorities that engines distinguish; less urgent ones count as the last.
const PRIORITIES: usize = 10;
/// Age up to which a reported number of waiting requests counts. A batch of an engine changes within
/// some hundred milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time for which an engine counts as full after it refused a lease.
pub const FULL_TIME: Duration = Duration::from_millis(300);
/// Time without calls for leases after one that failed: an engine that doesn't know the call would
/// otherwise cost each request a connection, and one that hangs each request the timeout.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// What is known of one engine's free capacity, from its responses and from calls for leases.
#[derive(Debug, Clone, Default)]
pub struct HoldState {
    /// Whether a call for a lease is in progress.
    pub is_calling: bool,
    /// Number of waiting requests in the last report, and when it was received.
    report: Option<(u32, Moment)>,
    /// By priority, until when the engine counts as full.
    full_until: [Moment; PRIORITIES],
    paused_until: Moment,
}

impl HoldState {
    /// Records the number of waiting requests that the engine reported.
    pub const fn record_report(&mut self, waiting: u32, now: Moment) {
        self.report = Some((waiting, now));
    }

    /// Records that the engine refused a lease to a request of this priority.
    pub fn record_full(&mut self, priority: u8, now: Moment) {
        for until in &mut self.full_until[index(priority)..] {
            *until = (*until).max(now.after(FULL_TIME));
        }
    }

    /// Records a call for a lease without a usable answer.
    pub fn record_failure(&mut self, now: Moment) {
        self.paused_until = now.after(FAILURE_PAUSE);
    }

    /// Returns whether requests wait in the engine according to a recent report.
    pub fn has_waiting(&self, now: Moment) -> bool {
        self.report.is_some_and(|(waiting, at)| waiting > 0 && now.since(at) <= MAX_REPORT_AGE)
    }

    /// Returns whether the engine counts as full for requests of a priority.
    pub fn is_full(&self, priority: u8, now: Moment) -> bool {
        now < self.full_until[index(priority)]
    }

    /// Returns whether no leases are requested after a failed call.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
