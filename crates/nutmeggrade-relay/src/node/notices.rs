//! What endpoints ask of their callers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{FleetMessage, RateLimits};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RateLimit;
use nutmeggrade_policy::dispatch::Backoff;
use nutmeggrade_policy::fleet::RateShare;
use nutmeggrade_wire::notice::{LimitNotice, Notice};

use super::Node;
use crate::tables::lock;

/// How an endpoint's rate limit changed.
struct LimitChange {
    old: Option<RateLimit>,
    new: Option<RateLimit>,
}

impl Node {
    /// Records what an endpoint asks for in a response, and sends it to the peers.
    ///
    /// `asked_at` is when the request was sent if the response would also show that a limit was
    /// withdrawn.
    pub fn apply_notice(&self, endpoint: &EndpointId, notice: Notice, asked_at: Option<Moment>) {
        if notice.is_leaving {
            let left = self.note_leaving(std::slice::from_ref(endpoint));
            self.broadcast_leaving(&left);
        }
        let now = self.now();
        match notice.backoff {
            Some(time) => self.begin_backoff(endpoint, time, now),
            None if asked_at.is_some() => self.end_backoff(endpoint, now),
            None => {}
        }
        match notice.limit {
            LimitNotice::Stated(limit) => self.note_limit(endpoint, limit, now),
            LimitNotice::Absent => {
                if let Some(asked_at) = asked_at {
                    self.note_missing_limit(endpoint, asked_at);
                }
            }
            LimitNotice::Malformed => {}
        }
    }

    /// Records a rate limit in a response, and announces it if it is new or an announcement is due.
    fn note_limit(&self, endpoint: &EndpointId, limit: RateLimit, now: Moment) {
        let (change, is_due) = {
            let shares = &mut lock(&self.tables).rate_shares;
            let change = state_limit(shares, endpoint, limit, now);
            let is_due = shares.get_mut(endpoint).is_some_and(|s| s.take_announcement(now));
            (change, is_due)
        };
        if is_due || change.is_some() {
            self.announce_limit(endpoint, Some(limit));
        }
        self.apply_limit_change(endpoint, change.as_ref());
    }

    /// Records a response without a rate limit to a request sent at `asked_at`.
    fn note_missing_limit(&self, endpoint: &EndpointId, asked_at: Moment) {
        let change = {
            let shares = &mut lock(&self.tables).rate_shares;
            let is_withdrawn = shares.get(endpoint).is_some_and(|s| s.is_withdrawn(asked_at));
            if is_withdrawn { withdraw_limit(shares, endpoint) } else { None }
        };
        if change.is_some() {
            self.announce_limit(endpoint, None);
        }
        self.apply_limit_change(endpoint, change.as_ref());
    }

    fn announce_limit(&self, endpoint: &EndpointId, limit: Option<RateLimit>) {
        let limits = RateLimits::from([(endpoint.clone(), limit)]);
        self.broadcast(FleetMessage::RateLimits(limits));
    }

    /// Records the rate limits that a peer received from endpoints.
    pub fn note_peer_limits(&self, limits: &RateLimits) {
        let now = self.now();
        for (endpoint, limit) in limits {
            let change = {
                let tables = &mut *lock(&self.tables);
                let shares = &mut tables.rate_shares;
                match limit {
                    Some(limit) if tables.registry.get(endpoint).is_some() => {
                        let change = state_limit(shares, endpoint, *limit, now);
                        if let Some(share) = shares.get_mut(endpoint) {
                            share.note_announcement(now);
                        }
                        change
                    }
                    Some(_) => None,
                    None => withdraw_limit(shares, endpoint),
                }
            };
            self.apply_limit_change(endpoint, change.as_ref());
        }
    }

    fn begin_backoff(&self, endpoint: &EndpointId, time: Duration, now: Moment) {
        self.metrics.backoffs.inc();
        tracing::info!(event = "endpoint_backoff", %endpoint, ms = time.as_millis());
        let was_active = {
            let tables = &mut lock(&self.tables);
            let was_active = tables.is_backing_off(endpoint, now);
            let backoff = tables.backoffs.entry(endpoint.clone());
            backoff
                .and_modify(|backoff| backoff.extend(time, now))
                .or_insert_with(|| Backoff::new(time, now));
            was_active
        };
        if !was_active {
            self.refresh();
        }
    }

    /// Ends the trial after a pause. A response during the pause is to an earlier request.
    fn end_backoff(&self, endpoint: &EndpointId, now: Moment) {
        let is_over = {
            let backoffs = &mut lock(&self.tables).backoffs;
            let is_over = backoffs.get(endpoint).is_some_and(|b| !b.is_active(now));
            if is_over {
                backoffs.remove(endpoint);
            }
            is_over
        };
        if is_over {
            self.refresh();
        }
    }

    fn apply_limit_change(&self, endpoint: &EndpointId, change: Option<&LimitChange>) {
        let Some(LimitChange { old, new }) = change else { return };
        let text = |limit: Option<RateLimit>| {
            limit.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string)
        };
        tracing::info!(event = "endpoint_limit", %endpoint, old = text(*old), new = text(*new));
        self.refresh();
    }
}

fn state_limit(
    shares: &mut BTreeMap<EndpointId, RateShare>,
    endpoint: &EndpointId,
    limit: RateLimit,
    now: Moment,
) -> Option<LimitChange> {
    let old = shares.get(endpoint).map(RateShare::limit);
    let share = shares.entry(endpoint.clone()).or_insert_with(|| RateShare::new(limit, now));
    share.state(limit, now);
    (old != Some(limit)).then_some(LimitChange { old, new: Some(limit) })
}

fn withdraw_limit(
    shares: &mut BTreeMap<EndpointId, RateShare>,
    endpoint: &EndpointId,
) -> Option<LimitChange> {
    let share = shares.remove(endpoint)?;
    Some(LimitChange { old: Some(share.limit()), new: None })
}
