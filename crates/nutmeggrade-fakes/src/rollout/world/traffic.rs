//! Requests on their way through the endpoints.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use rand::RngExt;

use super::super::endpoints::{Course, ROUTES, SECOND};
use super::{ORDERED, STEP, World};

/// Events after which a stream's pace is known.
const PACED: u32 = 24;

/// A request at an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) instance: usize,
    pub(super) endpoint: usize,
    route: &'static str,
    sent: Moment,
    first: Moment,
    pub(super) end: Moment,
    course: Course,
    has_begun: bool,
    paced_at: Option<Moment>,
    moves_at: Option<Moment>,
    has_moved: bool,
}

impl World {
    pub(super) fn arrive(&mut self, age: Duration, now: Moment) {
        let expected = self.plan.rate * STEP.as_secs_f64();
        let mut count = expected;
        while count > 0.0 {
            let is_one = self.rng.random_bool(count.min(1.0));
            count -= 1.0;
            if is_one {
                self.request(age, now);
            }
        }
    }

    fn request(&mut self, age: Duration, now: Moment) {
        let number = self.rng.random_range(0..self.instances.len());
        if !self.instances[number].is_up {
            return;
        }
        if now >= ORDERED {
            self.referee.request(age);
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
            self.referee.exposed(age);
        } else {
            instance.running += 1;
        }
        let route = ROUTES[usize::from(self.rng.random_bool(SECOND))];
        let course = self.endpoints.draw(endpoint, route, age, &mut self.rng);
        self.endpoints.running[endpoint] += 1;
        let first = now.after(course.first);
        self.running.push(Running {
            instance: number,
            endpoint,
            route,
            sent: now,
            first,
            end: if course.fails { first } else { first.after(course.pace * course.events) },
            paced_at: (course.events >= PACED && !course.fails)
                .then(|| first.after(course.pace * PACED)),
            course,
            has_begun: false,
            moves_at: None,
            has_moved: false,
        });
    }

    pub(super) fn progress(&mut self, age: Duration, now: Moment) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|request| !self.go_on(request, age, now));
        self.running = running;
    }

    /// Takes a request on; says whether it has ended.
    fn go_on(&mut self, request: &mut Running, age: Duration, now: Moment) -> bool {
        let endpoint = self.endpoints.all[request.endpoint].clone();
        let instance = &mut self.instances[request.instance];
        let is_warm = instance.registry.get(&endpoint.id).is_some_and(|e| e.is_warm(now));
        let mut note = |outcome| {
            let version = endpoint.version.as_ref();
            instance.table.note_outcome(&endpoint.service, version, request.route, outcome);
        };
        if !request.has_begun && now >= request.first {
            request.has_begun = true;
            if request.course.is_flawed {
                self.referee.bad_answer(age);
            }
            if request.course.fails {
                note(Outcome::Failed);
            } else if is_warm {
                note(Outcome::FirstResponse(request.first.since(request.sent)));
            }
        }
        if request.paced_at.is_some_and(|at| now >= at) {
            request.paced_at = None;
            if !request.has_moved && is_warm {
                note(Outcome::EventInterval(request.course.pace));
            }
        }
        if now >= request.end {
            self.leave(request);
            return true;
        }
        self.maybe_move(request, age, now);
        false
    }

    fn leave(&mut self, request: &Running) {
        self.endpoints.running[request.endpoint] -= 1;
        if !self.endpoints.is_new(request.endpoint) {
            self.instances[request.instance].running -= 1;
        }
    }

    /// Has a stream move whose endpoint is retired; nine in ten find a way.
    fn maybe_move(&mut self, request: &mut Running, age: Duration, now: Moment) {
        let endpoint = &self.endpoints.all[request.endpoint];
        let instance = &self.instances[request.instance];
        if !request.has_begun || !instance.registry.should_move_work(&endpoint.id) {
            return;
        }
        if request.moves_at.is_none() {
            let wait = if self.rng.random_bool(0.9) { 1_500 } else { 60_000 };
            let wait = Duration::from_millis(self.rng.random_range(wait / 10..wait));
            request.moves_at = Some(now.after(wait));
        }
        if request.moves_at.is_some_and(|at| now >= at) {
            let candidates = instance.candidates(1.0, now);
            let Some(to) = candidates.into_iter().min_by_key(|e| self.endpoints.running[*e]) else {
                return;
            };
            self.leave(request);
            let version = self.endpoints.all[to].version.as_ref();
            let instance = &mut self.instances[request.instance];
            instance.table.note_sent(&self.service, version);
            if self.endpoints.is_new(to) {
                self.referee.exposed(age);
            } else {
                instance.running += 1;
            }
            self.endpoints.running[to] += 1;
            request.endpoint = to;
            request.moves_at = None;
            request.has_moved = true;
        }
    }
}
