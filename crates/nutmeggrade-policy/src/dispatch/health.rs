//! Health of an endpoint, judged by its responses.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::FailureRate;

/// Time constant of the decay of a failure's weight: a few heartbeats of an endpoint, after which
/// the registry has removed one that died.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// First pause after an endpoint could not be reached. A round trip is a few milliseconds, so that
/// a restarted endpoint is detected soon.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; by then the registry has removed a dead endpoint.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Interval at which the notice that an endpoint is gone is repeated while it still is: half of the
/// pause that the notice sets, so that receivers don't try the endpoint in between.
const GONE_NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause of an endpoint that has stopped sending, from the last notice of it.
const STALL_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which the notice that an endpoint has stopped sending is repeated while it is silent.
const STALL_NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// Factor applied to the weight of earlier failures on each success.
const SUCCESS_FACTOR: f64 = 0.7;

/// Health of an endpoint as observed from its responses.
///
/// An endpoint may fail or be unreachable while its registration is fine. Without this record each
/// instance would go on sending it its share, and a fixed fraction of all requests would fail until
/// the registry drops the entry, or permanently. An endpoint that can't be reached is paused, with
/// the pause doubling each time. One that responds with failures only gets a worse score, since
/// some kinds of request fail everywhere.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: f64,
    updated_at: Moment,
    losses: u32,
    paused_until: Option<Moment>,
    gone_at: Option<Moment>,
    stalled_at: Option<Moment>,
    domain_rate: FailureRate,
    total_rate: FailureRate,
    unsent: (u32, u32),
}

impl Health {
    /// Records a response that is not a failure.
    pub fn record_success(&mut self, now: Moment) {
        self.failures = self.recent_failures(now) * SUCCESS_FACTOR;
        self.updated_at = now;
        self.losses = 0;
        self.paused_until = None;
        self.gone_at = None;
        self.stalled_at = None;
        self.count((0, 1), now);
    }

    /// Records that the endpoint responded with a failure.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures = self.recent_failures(now) + 1.0;
        self.updated_at = now;
        self.count((1, 1), now);
    }

    fn count(&mut self, (failures, responses): (u32, u32), now: Moment) {
        self.unsent = (self.unsent.0 + failures, self.unsent.1 + responses);
        self.record_counts((failures, responses), true, now);
    }

    /// Records responses counted by this instance or a peer, and how many of them are failures.
    /// `is_near` is true if the counting instance is in the same failure domain.
    pub fn record_counts(&mut self, counted: (u32, u32), is_near: bool, now: Moment) {
        self.total_rate.add(counted, now);
        if is_near {
            self.domain_rate.add(counted, now);
        }
    }

    /// Returns the counts not yet sent to peers and resets them, if they contain failures.
    pub fn take_unsent(&mut self) -> Option<(u32, u32)> {
        (self.unsent.0 > 0).then(|| std::mem::take(&mut self.unsent))
    }

    /// Returns the failure rate of the endpoint, the higher of that seen in this failure domain and
    /// that seen by all: some endpoints fail only the clients of one failure domain.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.domain_rate.value(now).max(self.total_rate.value(now))
    }

    /// Records that the endpoint could not be reached, stopped responding or closed the connection
    /// early.
    pub fn record_loss(&mut self, now: Moment) {
        self.record_failure(now);
        let pause = INITIAL_PAUSE.saturating_mul(1 << self.losses.min(3));
        self.losses += 1;
        self.paused_until = Some(now.after(pause.min(MAX_PAUSE)));
    }

    /// Records that all instances are notified, by this one or another, that nothing listens at the
    /// endpoint's address. The pause is short and does not double, since the endpoint may have
    /// restarted.
    pub fn record_gone_notice(&mut self, now: Moment) {
        self.gone_at = Some(now);
        let until = now.after(INITIAL_PAUSE);
        self.paused_until = Some(self.paused_until.map_or(until, |old| old.max(until)));
    }

    /// Returns whether all instances were notified recently enough that no further notice is due. A
    /// pause alone does not imply a notice: it also follows a lost response, which is not announced
    /// to peers.
    pub fn has_recent_gone_notice(&self, now: Moment) -> bool {
        self.gone_at.is_some_and(|at| now.since(at) < GONE_NOTICE_INTERVAL)
    }

    /// Records that this instance or another finds that the endpoint has stopped sending.
    pub fn record_stall_notice(&mut self, now: Moment) {
        self.stalled_at = Some(now);
        let until = now.after(STALL_PAUSE);
        self.paused_until = Some(self.paused_until.map_or(until, |old| old.max(until)));
    }

    /// Returns whether a notice that the endpoint has stopped sending is recent enough that no
    /// further one is due.
    pub fn has_recent_stall_notice(&self, now: Moment) -> bool {
        self.stalled_at.is_some_and(|at| now.since(at) < STALL_NOTICE_INTERVAL)
    }

    /// Returns whether the endpoint has lately been found to have stopped sending.
    pub fn is_stalled(&self, now: Moment) -> bool {
        self.stalled_at.is_some_and(|at| now.since(at) < STALL_PAUSE)
    }

    /// Returns the time of the last notice that the endpoint is gone, unless it has responded
    /// since.
    pub const fn gone_notice_at(&self) -> Option<Moment> {
        self.gone_at
    }

    /// Returns the number of recent failures, older ones with less weight.
    pub fn recent_failures(&self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.failures * (-age).exp()
    }

    /// Returns whether the endpoint is paused.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}
