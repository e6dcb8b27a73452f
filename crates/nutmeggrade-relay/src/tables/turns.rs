//! Turns at endpoints that limit their rates or asked for a pause.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::dispatch::Backoff;
use nutmeggrade_policy::fleet::{RateShare, Turn};
use nutmeggrade_state::fleet_view::FleetView;

use super::Tables;

/// Time for which the rate limit of an endpoint without an entry is kept: entries lapse while the
/// store is unavailable, and come back.
const MAX_LIMIT_AGE: Duration = Duration::from_mins(2);
/// Time after a pause in which the endpoint is still tried with single requests.
const MAX_TRIAL_TIME: Duration = Duration::from_mins(1);

impl Tables {
    /// Counts a placed request against this instance's shares of an endpoint's limits.
    pub(super) fn count_placement(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(share) = self.cold_shares.get_mut(endpoint) {
            share.record_sent(now);
        }
        self.count_turn(endpoint, now);
    }

    /// Counts a request to an endpoint that takes turns, if it does.
    pub fn count_turn(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(share) = self.rate_shares.get_mut(endpoint) {
            share.record_sent(now);
        }
        if let Some(backoff) = self.backoffs.get_mut(endpoint) {
            backoff.record_sent(now);
        }
    }

    /// Takes a turn at an endpoint that limits its rate; returns whether there was one, or no limit.
    pub fn take_turn(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        let Some(share) = self.rate_shares.get_mut(endpoint) else { return true };
        let is_open = settled_turn(share).is_open(now);
        if is_open {
            share.record_sent(now);
        }
        is_open
    }

    /// Returns whether an endpoint asked this instance for a pause that lasts.
    pub fn is_backing_off(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.backoffs.get(endpoint).is_some_and(|b| b.is_active(now))
    }

    /// Returns whether a request that continues work of an endpoint may be sent now, and counts it.
    pub fn take_essential(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        let backoff = self.backoffs.get_mut(endpoint).filter(|b| b.is_active(now));
        backoff.is_none_or(Backoff::take_essential)
    }

    /// Returns whether an order may be sent to an endpoint now, and counts it.
    pub fn take_order(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        let is_open = self.take_essential(endpoint, now);
        if is_open {
            self.count_turn(endpoint, now);
        }
        is_open
    }

    /// Returns whether a lease may be requested at an endpoint now, and counts the call. A lease only
    /// prevents a wait, so the call takes a turn like a request does, and there is none to an endpoint
    /// that is cold or is tried with single requests after a pause.
    pub fn take_lease_call(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        let usable = self.registry.get_usable(endpoint).filter(|e| e.cold_until <= now);
        usable.is_some() && !self.backoffs.contains_key(endpoint) && self.take_turn(endpoint, now)
    }

    /// Returns whether a status check may be sent to an endpoint now, and counts it.
    pub fn take_check(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        !self.is_backing_off(endpoint, now)
            && self.rate_shares.get_mut(endpoint).is_none_or(|share| share.take_check(now))
    }

    /// Returns the next turn of this instance at each endpoint that takes turns.
    pub(super) fn refresh_turns(&mut self, now: Moment) -> BTreeMap<EndpointId, Turn> {
        let registry = &self.registry;
        self.rate_shares.retain(|id, share| {
            registry.get(id).is_some() || now.since(share.stated_at()) < MAX_LIMIT_AGE
        });
        self.backoffs.retain(|_, backoff| now.since(backoff.until()) < MAX_TRIAL_TIME);
        let ids: BTreeSet<EndpointId> =
            self.rate_shares.keys().chain(self.backoffs.keys()).cloned().collect();
        let turn = |id: EndpointId| self.next_turn(&id, now).map(|turn| (id, turn));
        ids.into_iter().filter_map(turn).collect()
    }

    fn next_turn(&mut self, endpoint: &EndpointId, now: Moment) -> Option<Turn> {
        let backoff = self.backoffs.get(endpoint).map(Backoff::turn);
        let Some(share) = self.rate_shares.get_mut(endpoint) else { return backoff };
        share.divide(self.fleet.rank(endpoint, now), self.fleet.instance_count(now), now);
        let turn = settled_turn(share);
        Some(backoff.map_or(turn, |b| turn.and(b)))
    }
}

/// Returns the next turn in a share. Until it has heard from its peers, an instance can't know how
/// many share the limit.
fn settled_turn(share: &RateShare) -> Turn {
    let turn = share.turn();
    Turn { next: turn.next.max(FleetView::SETTLED), ..turn }
}
