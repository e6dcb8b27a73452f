//! Refusal of requests that would find room too late.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::{DEFAULT_RETRY_DELAY, Dispatcher};
use crate::dispatch::lane_key::LaneKey;
use crate::dispatch::{
    DispatchRequest, FreeRoom, Refusal, RefusalReason, ReleaseRate, RetrySchedule,
};
use crate::queue::Lane;

/// Share of the time left after which a start leaves too little time for an answer, as long as it is
/// not known how long answers take.
const LATEST_START_SHARE: f64 = 0.8;

/// Memory that has to become free before a request can be placed, and in which time it does.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    wait: Duration,
    ahead: u64,
}

impl Forecast {
    fn new(request: &DispatchRequest, ahead: u64, rate: ReleaseRate, free: &FreeRoom) -> Self {
        let needed = ahead.saturating_add(request.memory) as f64;
        Self { wait: rate.wait(needed - free.usable(request.memory)), ahead }
    }
}

impl Dispatcher {
    /// Counts what requests have released since the last call.
    ///
    /// Releases at endpoints that get no new work make no room. At an endpoint not more is counted
    /// than it can hold, whatever a peer reports.
    pub(super) fn record_released(&mut self, now: Moment) {
        for ticket in self.load_table.take_ended() {
            self.hold_times.end(ticket, now);
        }
        for (endpoint, released) in self.load_table.take_released() {
            let Some((service, candidate)) = self.pools.find_any(&endpoint) else { continue };
            let Some(memory) = candidate.memory else { continue };
            let service = service.clone();
            let forecast = self.forecasts.entry(service).or_default();
            forecast.room.record(released.at_most(memory), now);
        }
    }

    /// Returns whether it can be forecast when a request finds room.
    pub(super) fn has_forecast(&self, request: &DispatchRequest, now: Moment) -> bool {
        let forecast = self.forecasts.get(&request.service);
        request.memory > 0 && forecast.is_some_and(|f| f.room.rate(now).is_some())
    }

    /// Refuses a new request that would find room too late.
    pub(super) fn refuse_new(
        &mut self,
        request: &DispatchRequest,
        patience: Duration,
        now: Moment,
    ) -> Option<Refusal> {
        let forecast = self.forecast_new(request, now)?;
        let is_late = self.is_late(request, &forecast, now.after(patience), now);
        is_late.then(|| self.refuse(request, forecast, RefusalReason::Forecast, now))
    }

    /// Refuses a request that has waited as long as it may, and is no longer in the queue.
    pub(super) fn refuse_waited(
        &mut self,
        request: &DispatchRequest,
        now: Moment,
    ) -> Option<Refusal> {
        let forecast = self.forecast_new(request, now)?;
        Some(self.refuse(request, forecast, RefusalReason::Timeout, now))
    }

    /// Refuses the waiting requests that would find room too late.
    pub(super) fn refuse_waiting(&mut self, now: Moment) {
        let mut services: Vec<ServiceId> = self.lanes.keys().map(|k| k.service.clone()).collect();
        services.dedup();
        for service in services {
            if self.forecasts.get_mut(&service).is_some_and(|f| f.take_check(now)) {
                self.refuse_waiting_for(&service, now);
            }
        }
    }

    fn refuse_waiting_for(&mut self, service: &ServiceId, now: Moment) {
        let keys: Vec<LaneKey> =
            self.lanes.keys().filter(|k| k.service == *service).cloned().collect();
        let mut before = 0_u64;
        for key in keys {
            for (request, forecast) in self.late_waits(&key, before, now) {
                let reason = match self.wait_ends.get(&request.ticket) {
                    Some(end) if now >= *end => RefusalReason::Timeout,
                    _ => RefusalReason::Forecast,
                };
                self.withdraw(&request);
                let refusal = self.refuse(&request, forecast, reason, now);
                self.refused.push((request.ticket, refusal));
            }
            before = before.saturating_add(self.lanes.get(&key).map_or(0, Lane::memory));
        }
    }

    /// Returns the requests of a lane that would find room too late, with `before` memory waiting in
    /// lanes ahead of it.
    fn late_waits(
        &mut self,
        key: &LaneKey,
        before: u64,
        now: Moment,
    ) -> Vec<(DispatchRequest, Forecast)> {
        let Some((rate, free)) = self.rate_and_free(&key.service, now) else { return Vec::new() };
        let Some(lane) = self.lanes.get(key) else { return Vec::new() };
        let Some(first) = lane.heads().map(|r| r.start_deadline).min() else { return Vec::new() };
        let at_peers = self.peer_memory_ahead(&key.service, key.priority, first, now);
        let before = before.saturating_add(at_peers);
        let mut in_vain = Vec::new();
        // Those behind a refused request move up.
        let mut refused = 0_u64;
        for (request, ahead) in lane.waits() {
            let ahead = before.saturating_add(ahead).saturating_sub(refused);
            let forecast = Forecast::new(request, ahead, rate, &free);
            let end = self.wait_ends.get(&request.ticket).copied().unwrap_or(request.deadline);
            if request.memory > 0 && self.is_late(request, &forecast, end, now) {
                refused = refused.saturating_add(request.memory);
                in_vain.push((request.clone(), forecast));
            }
        }
        in_vain
    }

    /// Returns the memory of requests at peers that find room before a request of this service and
    /// priority with this start deadline.
    fn peer_memory_ahead(
        &self,
        service: &ServiceId,
        priority: u8,
        start_deadline: Moment,
        now: Moment,
    ) -> u64 {
        self.order.peers.memory_ahead(service, priority, start_deadline, now)
    }

    /// Forecasts when a request finds room that is not in the queue yet.
    fn forecast_new(&mut self, request: &DispatchRequest, now: Moment) -> Option<Forecast> {
        if !self.has_forecast(request, now) {
            return None;
        }
        let first = LaneKey::on_time(&request.service, 0);
        let own = LaneKey::on_time(&request.service, request.priority);
        let urgent = self.lanes.range(first..own.clone()).map(|(_, lane)| lane.memory());
        let ahead = self.lanes.get(&own).map_or(0, |lane| lane.memory_ahead(request));
        let ahead = urgent.fold(ahead, u64::saturating_add);
        let (service, deadline) = (&request.service, request.start_deadline);
        let at_peers = self.peer_memory_ahead(service, request.priority, deadline, now);
        let (rate, free) = self.rate_and_free(&request.service, now)?;
        Some(Forecast::new(request, ahead.saturating_add(at_peers), rate, &free))
    }

    /// Returns the rate at which a service releases memory, and what is free there.
    fn rate_and_free(
        &mut self,
        service: &ServiceId,
        now: Moment,
    ) -> Option<(ReleaseRate, Arc<FreeRoom>)> {
        let pool = self.pools.get(service, false);
        let forecast = self.forecasts.get_mut(service)?;
        let rate = forecast.room.rate(now)?;
        Some((rate, forecast.free(pool, &self.load_table, &mut self.rng, now)))
    }

    /// Returns whether the wait would end after `end`, or too late for an answer within the time limit.
    ///
    /// The next one in the queue needs a single release, and when that comes is uncertain: it is
    /// refused only if it could not even start now.
    fn is_late(
        &self,
        request: &DispatchRequest,
        forecast: &Forecast,
        end: Moment,
        now: Moment,
    ) -> bool {
        let wait = if forecast.ahead == 0 { Duration::ZERO } else { forecast.wait };
        let start = now.after(wait);
        let least = self.hold_times.least(request).unwrap_or_default();
        start > end || start.after(least) > request.deadline
    }

    fn refuse(
        &mut self,
        request: &DispatchRequest,
        Forecast { wait, ahead }: Forecast,
        reason: RefusalReason,
        now: Moment,
    ) -> Refusal {
        let left = request.deadline.since(now);
        let least = self.hold_times.least(request);
        let latest = least.map_or(left.mul_f64(LATEST_START_SHARE), |l| left.saturating_sub(l));
        if wait >= latest {
            let delay = left.saturating_add(self.jitter.draw(DEFAULT_RETRY_DELAY));
            return Refusal::new(RefusalReason::Hopeless, delay).with_forecast(wait, ahead);
        }
        let instances = self.load_table.instance_count() as f64;
        let forecast = self.forecasts.get_mut(&request.service);
        let rate = forecast.as_ref().and_then(|f| f.room.rate(now));
        let delay = match (forecast, rate) {
            (Some(forecast), Some(rate)) if rate.measured > 0.0 => {
                let share = rate.measured / instances;
                forecast.schedule.book(request, wait, share, &mut self.rng, now)
            }
            _ => self.jitter.draw(DEFAULT_RETRY_DELAY).min(RetrySchedule::longest(left)),
        };
        Refusal::new(reason, delay).with_forecast(wait, ahead)
    }
}
