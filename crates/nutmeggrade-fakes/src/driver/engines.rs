//! Running the engines.

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Ticket};

use super::{ATTEMPTS, DOMAINS, Decider, Driver, What, endpoint};
use crate::engine::{Event, Job};

impl<D: Decider> Driver<'_, D> {
    /// Says whether an engine could take the request, knowing every true length.
    pub(super) fn fits(&self, engine: usize, request: usize, now: Moment) -> bool {
        let held = &self.held[engine];
        let need = |i: &usize| {
            let arrival = &self.pattern.arrivals[*i];
            arrival.prompt + arrival.output
        };
        let sum: u64 = held.iter().map(need).sum();
        let model = &self.models[engine];
        let usable = !self.out[engine % DOMAINS] && !model.is_cold(now);
        usable
            && held.len() < self.pattern.spec.batch as usize
            && sum + need(&request) <= self.pattern.spec.memory
    }

    pub(super) fn submit(&mut self, request: usize, engine: usize, priority: i32, now: Moment) {
        let arrival = &self.pattern.arrivals[request];
        let live = &mut self.live[request];
        live.place = Some(engine);
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&live.attempt.to_be_bytes());
        let job = Job {
            generation: GenerationId::new(bytes),
            prompt: arrival.prompt,
            prefix: arrival.prefix,
            prefix_len: arrival.prefix_len,
            output: arrival.output,
            priority,
            poison: false,
        };
        self.held[engine].insert(request);
        let events = self.models[engine].submit(job, now);
        if !events.is_empty() {
            self.crashed(engine, now);
        }
        self.kick(engine, now);
    }

    pub(super) fn kick(&mut self, engine: usize, now: Moment) {
        if self.busy[engine] || self.models[engine].is_idle() {
            return;
        }
        let (took, events) = self.models[engine].step(now);
        self.busy[engine] = true;
        self.events[engine] = events;
        self.at(now.after(took), What::Step(engine));
    }

    pub(super) fn stepped(&mut self, engine: usize, now: Moment) {
        self.busy[engine] = false;
        for event in std::mem::take(&mut self.events[engine]) {
            match event {
                Event::Token { generation, last, .. } => self.token(generation, last, now),
                Event::Preempted { .. } => self.preemptions += 1,
                Event::Crashed => self.crashed(engine, now),
            }
        }
        self.kick(engine, now);
    }

    pub(super) fn token(&mut self, generation: GenerationId, last: bool, now: Moment) {
        let number = u64::from_str_radix(&generation.to_string()[16..], 16).unwrap_or(0);
        let Some(request) = self.tickets.get(&number).copied() else { return };
        self.outcomes[request].token(now);
        self.nodes[Self::node(request)].token(Ticket(number), now);
        if last {
            self.outcomes[request].whole = true;
            self.finish(request, End::Finished, now);
        }
    }

    pub(super) fn crashed(&mut self, engine: usize, now: Moment) {
        for request in std::mem::take(&mut self.held[engine]) {
            let live = &mut self.live[request];
            live.place = None;
            live.avoid.insert(endpoint(engine));
            let started = self.outcomes[request].started();
            if started || live.tries >= ATTEMPTS {
                self.finish(request, End::Failed, now);
            } else {
                let ticket = live.attempt;
                self.tickets.remove(&ticket);
                self.nodes[Self::node(request)].end(Ticket(ticket), End::Failed, now);
                self.admit(request, now);
            }
        }
    }
}
