//! Order of requests across instances.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{MAX_PRIORITY, WaitingReport};
use nutmeggrade_core::prelude::*;

use super::capacity_check::CapacityCheck;
use super::free_capacity::{free, loss, usable};
use super::idle_capacity::IdleCapacity;
use super::{Candidate, CandidatePool, DispatchRequest, LoadTable, PlacedLoad};
use crate::queue::{
    BacklogLevel, FleetBacklog, OwnBacklog, ReportSchedule, UrgentReserve, YieldReason, units,
    whole,
};

/// Time for which the free capacity of a service is not determined again on arrivals. It takes some
/// microseconds for each hundred endpoints.
const CHECK_VALIDITY: Duration = Duration::from_millis(10);
/// Number of endpoints by which the free capacity of a larger service is estimated.
const MAX_COUNTED: usize = 512;
/// Difference of two start deadlines from which on the older request goes first.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(300);
/// Longest time for which a request yields to older ones at peers, whose reports may be wrong.
const MAX_OLDER_YIELD: Duration = Duration::from_millis(100);
/// Time without an older request at a peer after which requests yield anew.
const EPISODE_GAP: Duration = Duration::from_millis(300);
/// Time after which demand that peers report, though free capacity would suffice for a request of it,
/// is taken as wrong. Such a request is placed at its instance's next release, a tenth of a second
/// later.
const WRONG_DEMAND_TIME: Duration = Duration::from_millis(150);
/// Time for which such demand is ignored.
const IGNORE_TIME: Duration = Duration::from_secs(2);
/// Least time between two computations of a service's total capacity.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(1);

/// Service, priority, and whether the request can no longer end in time.
type CheckKey = (ServiceId, u8, bool);

/// Demand that peers report although free capacity would suffice for a request of it.
#[derive(Debug, Clone, Copy, Default)]
struct UnmetDemand {
    since: Option<Moment>,
    ignored_until: Moment,
}

/// Time in which requests of a service and priority yield to older ones at peers.
#[derive(Debug, Clone, Copy)]
struct YieldEpisode {
    began: Moment,
    last: Moment,
}

/// Decides whether a request leaves free capacity to more urgent or older requests at this instance
/// or at peers.
#[derive(Debug, Default)]
pub struct FleetOrder {
    /// Waiting and recent requests of this instance.
    pub own: OwnBacklog,
    /// Waiting and recent requests of the peers.
    pub peers: FleetBacklog,
    checks: BTreeMap<CheckKey, CapacityCheck>,
    idle: BTreeMap<EndpointId, IdleCapacity>,
    unmet: BTreeMap<CheckKey, UnmetDemand>,
    older_yields: BTreeMap<(ServiceId, u8), YieldEpisode>,
    capacities: BTreeMap<ServiceId, (u64, Moment)>,
    schedule: ReportSchedule,
    is_disabled: bool,
}

impl FleetOrder {
    /// Creates the order of an instance that knows of no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an order that lets no request yield and reports none: independent queues per instance.
    pub fn disabled() -> Self {
        Self { is_disabled: true, ..Self::default() }
    }

    /// Prepares the next report, and returns whether it is to be sent although no placement is. Called
    /// at regular intervals.
    pub fn prepare_report(&mut self, now: Moment) -> bool {
        if self.is_disabled {
            return false;
        }
        let count = self.peers.instance_count();
        if self.schedule.is_open(now) {
            self.own.sample(now);
        }
        self.schedule.is_open(now) && self.schedule.is_due(&self.own.report(now), count, now)
    }

    /// Returns the report to send with a placement, or by itself; empty if none is due.
    pub fn take_report(&mut self, with_placement: bool, now: Moment) -> WaitingReport {
        let count = self.peers.instance_count();
        if self.is_disabled || !self.schedule.is_open(now) {
            return WaitingReport::default();
        }
        let report = self.own.report(now);
        let is_due = with_placement || self.schedule.is_due(&report, count, now);
        if !is_due || report.is_empty() {
            return WaitingReport::default();
        }
        self.own.drop_sample();
        self.schedule.sent(&report, !with_placement, count, now);
        report
    }

    /// Returns the report to send with a heartbeat; empty if none is due.
    pub fn take_heartbeat_report(&mut self, now: Moment) -> WaitingReport {
        if !self.is_disabled && self.schedule.take_heartbeat(now) {
            self.own.report(now)
        } else {
            WaitingReport::default()
        }
    }

    /// Returns whether requests of the service have different priorities, or wait at a peer.
    pub fn is_active(&self, service: &ServiceId, now: Moment) -> bool {
        if self.is_disabled {
            return false;
        }
        let mut own = self.own.priorities(service);
        let first = own.next();
        own.next().is_some() || self.peers.is_active(service, first, now)
    }

    /// Returns whether requests that are less urgent than a priority were seen lately.
    pub fn has_less_urgent(&self, service: &ServiceId, priority: u8, now: Moment) -> bool {
        self.own.priorities(service).any(|p| p > priority)
            || self.peers.has_less_urgent(service, priority, now)
    }

    /// Removes what is no longer valid.
    pub fn expire(&mut self, load_table: &LoadTable, now: Moment) {
        self.own.expire(|ticket| load_table.is_placed(ticket), now);
        self.peers.expire(now);
        self.checks.clear();
        self.older_yields.retain(|_, episode| now.since(episode.last) <= EPISODE_GAP);
        self.unmet.retain(|_, u| u.since.is_some() || u.ignored_until > now);
        self.idle.retain(|_, idle| idle.is_current(now));
    }

    /// Returns the reason for which a request leaves the endpoint that was chosen for it to others.
    pub fn yield_reason(
        &mut self,
        request: &DispatchRequest,
        is_late: bool,
        endpoint: &Candidate,
        (pool, load_table): (&CandidatePool, &LoadTable),
        now: Moment,
    ) -> Option<YieldReason> {
        let key = (request.service.clone(), request.priority, is_late);
        let check = match self.checks.get(&key) {
            Some(check) if now.since(check.at) < CHECK_VALIDITY => *check,
            _ => {
                let check = self.check(&key, pool, load_table, now);
                self.checks.insert(key, check);
                check
            }
        };
        let size = units(request);
        let placed = load_table.load(&endpoint.id);
        let loss = loss(endpoint, &placed, request, check.urgent_size, check.is_short);
        let reason = if !check.leaves_enough(loss) {
            YieldReason::Urgent
        } else if !is_late && self.is_older_waiting(request, &check, size, now) {
            YieldReason::Older
        } else {
            return None;
        };
        (self.unused(endpoint, now) < size).then_some(reason)
    }

    /// Returns the capacity of an endpoint that stayed unused although requests wait.
    pub fn unused(&self, endpoint: &Candidate, now: Moment) -> u64 {
        self.idle.get(&endpoint.id).map_or(0, |idle| idle.unused(now))
    }

    /// Takes the capacity of a placed request off what is known to be free.
    pub fn placed(
        &mut self,
        request: &DispatchRequest,
        endpoint: &Candidate,
        load_table: &LoadTable,
    ) {
        // The load table already counts the request.
        let load = PlacedLoad { requests: 1, memory: request.memory, ..PlacedLoad::default() };
        let mut before = load_table.load(&endpoint.id);
        before -= load;
        let of_service = |(key, _): &(&CheckKey, &mut CapacityCheck)| key.0 == request.service;
        for (_, check) in self.checks.iter_mut().filter(of_service) {
            let urgent = loss(endpoint, &before, request, check.urgent_size, check.is_short);
            check.urgent_free = check.urgent_free.saturating_sub(urgent);
            let same = loss(endpoint, &before, request, check.same_size, false);
            check.same_free = check.same_free.saturating_sub(same);
        }
        if let Some(idle) = self.idle.get_mut(&endpoint.id) {
            idle.take(units(request));
        }
    }

    /// Returns the capacity that the least urgent requests of all services leave free for more
    /// urgent ones.
    pub fn total_reserve(&self, now: Moment) -> u64 {
        let reserve = |service: &ServiceId| {
            let least_urgent = self.own.priorities(service).last().unwrap_or(0);
            let peers = self.peers.levels(service, now);
            self.reserve_before(service, least_urgent, &peers, now)
        };
        self.own.services().into_iter().map(reserve).fold(0, u64::saturating_add)
    }

    /// Returns the number of requests that wait at this instance and its peers, by priority.
    pub fn waiting_by_priority(&self, now: Moment) -> [u64; MAX_PRIORITY as usize + 1] {
        let mut counts = self.own.waiting_by_priority();
        self.peers.add_waiting(&mut counts, now);
        counts
    }

    /// Updates the bound of what a peer may report for a service.
    pub fn update_capacity(&mut self, service: &ServiceId, pool: &CandidatePool, now: Moment) {
        let known = self.capacities.get(service);
        if known.is_some_and(|(_, at)| now.since(*at) < CAPACITY_INTERVAL) {
            return;
        }
        let total = pool.iter().map(|c| c.memory.unwrap_or_else(|| u64::from(c.slots)));
        let total = total.fold(0, u64::saturating_add);
        self.capacities.insert(service.clone(), (total, now));
        self.peers.set_capacity(service, total);
    }

    /// Returns whether an older request waits at a peer and free capacity doesn't suffice for both.
    ///
    /// Requests that wait here at the same time yield together. If each began to yield once it is
    /// the first of its lane, a wrong report would delay the last one by seconds.
    fn is_older_waiting(
        &mut self,
        request: &DispatchRequest,
        check: &CapacityCheck,
        size: u64,
        now: Moment,
    ) -> bool {
        let is_older = |at: Moment| request.start_deadline > at.after(MIN_AGE_DIFFERENCE);
        let is_scarce = check.same_free < check.same_demand.saturating_add(size);
        if !is_scarce || !check.earliest.is_some_and(is_older) {
            return false;
        }
        let key = (request.service.clone(), request.priority);
        let episode =
            self.older_yields.entry(key).or_insert(YieldEpisode { began: now, last: now });
        if now.since(episode.last) > EPISODE_GAP {
            episode.began = now;
        }
        episode.last = now;
        let queued_at = self.own.queued_at(request.ticket).unwrap_or(now);
        now.since(episode.began.max(queued_at)) < MAX_OLDER_YIELD
    }

    fn check(
        &mut self,
        key: &CheckKey,
        pool: &CandidatePool,
        load_table: &LoadTable,
        now: Moment,
    ) -> CapacityCheck {
        let (service, priority, is_late) = key;
        self.update_capacity(service, pool, now);
        let peers = self.peers.levels(service, now);
        // Requests that can no longer end in time go after all others.
        let last = if *is_late { MAX_PRIORITY + 1 } else { *priority };
        let mut ahead = BacklogLevel::default();
        let mut own_ahead = 0_u64;
        let mut sizes = Vec::new();
        let mut is_short = true;
        for (level, p) in peers.iter().zip(0..last) {
            let own = self.own.level(service, p, now);
            ahead.add(level);
            ahead.add(&own);
            own_ahead = own_ahead.saturating_add(own.memory);
            if level.rate > 0 || own.rate > 0 {
                sizes.extend(self.own.mean_size(service, p));
            }
            if level.count + level.rate + own.count + own.rate > 0 {
                is_short &= self.own.is_short(service, p);
            }
        }
        let reserve = self.reserve_before(service, *priority, &peers, now);
        let same = peers.get(usize::from(*priority)).copied().unwrap_or_default();
        let own_same = self.own.mean_size(service, *priority).unwrap_or(1.0);
        let recent_size = sizes.iter().copied().fold(0.0, f64::max);
        let recent_size = if recent_size > 0.0 { recent_size } else { own_same };
        let mut check = CapacityCheck {
            at: now,
            urgent_size: ahead.mean_size().unwrap_or_else(|| whole(recent_size)).max(1),
            demand: ahead.memory,
            reserve,
            is_short,
            same_size: same.mean_size().unwrap_or(1).max(1),
            same_demand: same.memory,
            earliest: same.earliest,
            ..CapacityCheck::default()
        };
        if check.is_unclaimed() && check.earliest.is_none() {
            return check;
        }
        self.count_free(&mut check, pool, load_table, now);
        if check.demand > own_ahead && self.is_wrong(key, check.has_urgent_room(), now) {
            check.demand = own_ahead;
        }
        check
    }

    /// Returns whether the demand that peers report is taken as wrong: their report is stale, or
    /// they count requests that they don't have.
    fn is_wrong(&mut self, key: &CheckKey, has_room: bool, now: Moment) -> bool {
        let unmet = self.unmet.entry(key.clone()).or_default();
        if !has_room {
            unmet.since = None;
        } else if now.since(*unmet.since.get_or_insert(now)) >= WRONG_DEMAND_TIME {
            unmet.ignored_until = now.after(IGNORE_TIME);
        }
        now < unmet.ignored_until
    }

    fn count_free(
        &mut self,
        check: &mut CapacityCheck,
        pool: &CandidatePool,
        load_table: &LoadTable,
        now: Moment,
    ) {
        let step = pool.len().div_ceil(MAX_COUNTED).max(1);
        let (mut urgent, mut same, mut counted) = (0_u64, 0_u64, 0_u64);
        for candidate in pool.iter().step_by(step) {
            counted += 1;
            if load_table.health(&candidate.id).is_some_and(|h| h.is_paused(now)) {
                continue;
            }
            let placed = load_table.load(&candidate.id);
            urgent += usable(candidate, &placed, check.urgent_size, check.is_short);
            same += usable(candidate, &placed, check.same_size, false);
            let unused = free(candidate, &placed, false);
            let idle = self.idle.entry(candidate.id.clone());
            idle.and_modify(|i| i.observe(unused, now)).or_insert(IdleCapacity::new(unused, now));
        }
        let all = pool.len() as f64 / (counted as f64).max(1.0);
        check.urgent_free = whole(urgent as f64 * all);
        check.same_free = whole(same as f64 * all);
    }

    /// Returns the capacity to keep free for requests more urgent than a priority.
    fn reserve_before(
        &self,
        service: &ServiceId,
        priority: u8,
        peers: &[BacklogLevel],
        now: Moment,
    ) -> u64 {
        let (mut rate, mut held, mut needed) = (0.0, 0.0, 0.0);
        for (level, p) in peers.iter().zip(0..priority) {
            let own = self.own.level(service, p, now);
            let level_rate = level.rate.saturating_add(own.rate) as f64;
            let hold_time = self.own.hold_time(service, p).unwrap_or_default();
            rate += level_rate;
            held += level.held.saturating_add(own.held) as f64;
            needed += level_rate * hold_time.as_secs_f64();
        }
        if rate < 1.0 {
            return 0;
        }
        let capacity = self.capacities.get(service).map_or(0, |(total, _)| *total);
        UrgentReserve::new(rate, held, Duration::from_secs_f64(needed / rate)).tokens(capacity)
    }
}
