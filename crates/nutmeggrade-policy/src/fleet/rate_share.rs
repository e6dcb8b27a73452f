//! Share of an instance in an endpoint's rate limit.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RateLimit;

use super::Turn;

/// Fraction of the limit that is used; the rest is for instances that count the others differently.
const USED_FRACTION: f64 = 0.9;
/// Senders for each request per second of the limit, beside one. All of them may send a request in
/// the same moment.
const SENDERS_PER_REQUEST_RATE: f64 = 1.5;
/// Longest interval between two requests of a sender.
const MAX_INTERVAL: Duration = Duration::from_hours(1);
/// Time without a response from the endpoint after which one more request is sent to ask whether
/// the limit still holds.
const SILENCE_TIME: Duration = Duration::from_secs(10);
/// Requests that the limit allows between these requests of two instances, so that they fit beside
/// those of the senders also where instances don't hear of each other's responses.
const REQUESTS_PER_SILENCE_STEP: f64 = 4.0;
/// Longest time between these requests of two instances.
const MAX_SILENCE_STEP: Duration = Duration::from_mins(1);
/// Interval at which instances repeat to each other that the limit holds.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last statement of the limit in which a response without it changes nothing: not
/// all responses of an endpoint carry it, and they arrive in any order.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(1);
/// Interval between two status checks of an endpoint that limits its rate.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Share of this instance in the requests that an endpoint takes per second from all instances.
///
/// An endpoint that is short of something states how much it can still take. Instances don't ask
/// each other before a request, so each uses a fixed part: as many of them as the limit has room
/// for, ordered by rank, take turns at equal intervals, and the others send nothing. Instances that
/// count each other differently for a moment exceed the limit by a few requests at most.
#[derive(Debug, Clone)]
pub struct RateShare {
    limit: RateLimit,
    stated_at: Moment,
    announced_at: Moment,
    checked_at: Moment,
    sent_at: Moment,
    turn: Turn,
    is_sender: bool,
    rank: usize,
}

impl RateShare {
    /// Creates the share in a limit that was stated just now. It allows nothing until
    /// [`Self::divide`] is called.
    pub fn new(limit: RateLimit, now: Moment) -> Self {
        Self {
            limit,
            stated_at: now,
            announced_at: now,
            checked_at: Moment::ZERO,
            sent_at: now,
            turn: Turn { next: now, interval: MAX_INTERVAL },
            is_sender: false,
            rank: usize::MAX,
        }
    }

    /// Returns the limit.
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns when an instance last received the limit from the endpoint.
    pub const fn stated_at(&self) -> Moment {
        self.stated_at
    }

    /// Records that the endpoint stated a limit, to this instance or a peer.
    pub fn state(&mut self, limit: RateLimit, now: Moment) {
        self.limit = limit;
        self.stated_at = now;
    }

    /// Returns whether to repeat the limit to the peers, and if so, records that this is done.
    pub fn take_announcement(&mut self, now: Moment) -> bool {
        let is_due = now.since(self.announced_at) >= ANNOUNCE_INTERVAL;
        if is_due {
            self.announced_at = now;
        }
        is_due
    }

    /// Records that a peer announced the limit to all instances.
    pub const fn note_announcement(&mut self, now: Moment) {
        self.announced_at = now;
    }

    /// Returns whether a response without a limit to a request sent at `sent_at` shows that the
    /// endpoint has withdrawn the limit.
    pub fn is_withdrawn(&self, sent_at: Moment) -> bool {
        sent_at >= self.stated_at.after(WITHDRAWAL_TIME)
    }

    /// Divides the limit: this instance is at position `rank` among `instance_count` that know the
    /// endpoint.
    pub fn divide(&mut self, rank: usize, instance_count: usize, now: Moment) {
        let limit = self.limit.per_second();
        let senders = (1.0 + SENDERS_PER_REQUEST_RATE * limit).floor();
        let senders = senders.min(instance_count.max(1) as f64);
        let was_sender = self.is_sender;
        self.is_sender = (rank as f64) < senders;
        self.rank = rank;
        let seconds = senders / (limit * USED_FRACTION);
        let interval = if self.is_sender && seconds < MAX_INTERVAL.as_secs_f64() {
            Duration::from_secs_f64(seconds)
        } else {
            MAX_INTERVAL
        };
        if self.is_sender && !was_sender {
            // Senders that begin together take their first turns one after another.
            self.turn.next = now.after(interval.mul_f64(rank as f64 / senders));
        } else if interval < self.turn.interval {
            self.turn.next = self.turn.next.min(now.after(interval));
        }
        self.turn.interval = interval;
    }

    /// Returns the next turn of this instance.
    ///
    /// An instance that isn't a sender gets a single one after a silence of the endpoint. Nobody
    /// would otherwise learn that the limit was withdrawn where no sender has requests for it.
    pub fn turn(&self) -> Turn {
        let seconds = REQUESTS_PER_SILENCE_STEP / self.limit.per_second();
        let step = Duration::from_secs_f64(seconds.min(MAX_SILENCE_STEP.as_secs_f64()));
        let step = step.saturating_mul(u32::try_from(self.rank).unwrap_or(u32::MAX));
        let silent = self.stated_at.max(self.sent_at).after(SILENCE_TIME).after(step);
        let next = if self.is_sender { self.turn.next.min(silent) } else { silent };
        Turn { next, ..self.turn }
    }

    /// Records a request to the endpoint, also one that had no turn.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent_at = now;
        self.turn.take(now);
    }

    /// Takes the turn of a status check; returns whether one may be sent now.
    pub fn take_check(&mut self, now: Moment) -> bool {
        let is_due = now.since(self.checked_at) >= CHECK_INTERVAL;
        if is_due {
            self.checked_at = now;
            self.record_sent(now);
        }
        is_due
    }
}
