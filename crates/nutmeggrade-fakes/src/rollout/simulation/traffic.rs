//! The simulated requests: arrival and progress.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use rand::RngExt;

use super::super::endpoints::{ROUTES, RequestProfile, SECOND_ROUTE_SHARE};
use super::{ORDERED_AT, STEP, Simulation};

/// Number of events after which a stream's pace is measured.
const PACE_EVENTS: u32 = 24;

/// A request that is running at an endpoint.
#[derive(Debug, Clone)]
pub(super) struct RunningRequest {
    pub(super) instance: usize,
    pub(super) endpoint: usize,
    route: &'static str,
    sent: Moment,
    response_at: Moment,
    pub(super) end: Moment,
    profile: RequestProfile,
    has_responded: bool,
    pace_due: Option<Moment>,
}

impl Simulation {
    /// Starts the requests that arrive in one step.
    pub(super) fn add_requests(&mut self, age: Duration, now: Moment) {
        let expected = self.plan.rate * STEP.as_secs_f64();
        let mut remaining = expected;
        while remaining > 0.0 {
            let arrives = self.rng.random_bool(remaining.min(1.0));
            remaining -= 1.0;
            if arrives {
                self.start_request(age, now);
            }
        }
    }

    fn start_request(&mut self, age: Duration, now: Moment) {
        let number = self.rng.random_range(0..self.instances.len());
        if !self.instances[number].is_up {
            return;
        }
        if now >= ORDERED_AT {
            self.evaluator.count_request(age);
        }
        let instance = &mut self.instances[number];
        instance.table.count_request(&self.service);
        let draw = self.rng.random_range(0.0..1.0);
        let candidates = instance.candidates(draw, now);
        let Some(endpoint) = candidates.into_iter().min_by_key(|e| self.endpoints.running[*e])
        else {
            return;
        };
        let version = self.endpoints.all[endpoint].version.as_ref();
        instance.table.note_sent(&self.service, version);
        let is_new = self.endpoints.is_new(endpoint);
        if is_new {
            self.evaluator.count_exposed(age);
        } else {
            instance.running += 1;
        }
        let route = ROUTES[usize::from(self.rng.random_bool(SECOND_ROUTE_SHARE))];
        let profile = self.endpoints.draw_profile(endpoint, route, age, &mut self.rng);
        self.endpoints.running[endpoint] += 1;
        let response_at = now.after(profile.first_response);
        self.running.push(RunningRequest {
            instance: number,
            endpoint,
            route,
            sent: now,
            response_at,
            end: if profile.fails {
                response_at
            } else {
                response_at.after(profile.event_interval * profile.events)
            },
            pace_due: (profile.events >= PACE_EVENTS && !profile.fails)
                .then(|| response_at.after(profile.event_interval * PACE_EVENTS)),
            profile,
            has_responded: false,
        });
    }

    /// Advances all running requests and removes those that have ended.
    pub(super) fn advance_requests(&mut self, age: Duration, now: Moment) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|request| !self.advance(request, age, now));
        self.running = running;
    }

    /// Advances a request; returns whether it has ended.
    fn advance(&mut self, request: &mut RunningRequest, age: Duration, now: Moment) -> bool {
        let endpoint = self.endpoints.all[request.endpoint].clone();
        let instance = &mut self.instances[request.instance];
        let is_warm = instance.registry.get(&endpoint.id).is_some_and(|e| e.is_warm(now));
        let mut record = |outcome| {
            let version = endpoint.version.as_ref();
            instance.table.note_outcome(&endpoint.service, version, request.route, outcome);
        };
        if !request.has_responded && now >= request.response_at {
            request.has_responded = true;
            if request.profile.is_flawed {
                self.evaluator.count_bad_response(age);
            }
            if request.profile.fails {
                record(Outcome::Failed);
            } else if is_warm {
                record(Outcome::FirstResponse(request.response_at.since(request.sent)));
            }
        }
        if request.pace_due.is_some_and(|at| now >= at) {
            request.pace_due = None;
            if is_warm {
                record(Outcome::EventInterval(request.profile.event_interval));
            }
        }
        if now >= request.end {
            self.release(request);
            return true;
        }
        false
    }

    /// Removes a request from the counts of its endpoint and instance.
    fn release(&mut self, request: &RunningRequest) {
        self.endpoints.running[request.endpoint] -= 1;
        if !self.endpoints.is_new(request.endpoint) {
            self.instances[request.instance].running -= 1;
        }
    }
}
