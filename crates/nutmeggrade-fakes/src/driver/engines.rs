//! Execution of the engines' steps.

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Ticket};

use super::{DOMAINS, Decider, MAX_ATTEMPTS, Simulation, SimulationEvent, endpoint};
use crate::engine::{Event, Job};

impl<D: Decider> Simulation<'_, D> {
    /// Returns whether an engine has room for the request, given the true output lengths.
    pub(super) fn fits(&self, engine: usize, request: usize, now: Moment) -> bool {
        let assigned = &self.assigned[engine];
        let need = |i: &usize| {
            let arrival = &self.pattern.arrivals[*i];
            arrival.prompt + arrival.output
        };
        let sum: u64 = assigned.iter().map(need).sum();
        let model = &self.models[engine];
        let usable = !self.out_domains[engine % DOMAINS] && !model.is_cold(now);
        usable
            && assigned.len() < self.pattern.spec.batch as usize
            && sum + need(&request) <= self.pattern.spec.memory
    }

    pub(super) fn submit(&mut self, request: usize, engine: usize, priority: i32, now: Moment) {
        let arrival = &self.pattern.arrivals[request];
        let state = &mut self.requests[request];
        state.engine = Some(engine);
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&state.ticket.to_be_bytes());
        let job = Job {
            generation: GenerationId::new(bytes),
            prompt: arrival.prompt,
            prefix: arrival.prefix,
            prefix_len: arrival.prefix_len,
            output: arrival.output,
            priority,
            poison: false,
        };
        self.assigned[engine].insert(request);
        let events = self.models[engine].submit(job, now);
        if !events.is_empty() {
            self.handle_crash(engine, now);
        }
        self.start_step(engine, now);
    }

    pub(super) fn start_step(&mut self, engine: usize, now: Moment) {
        if self.busy[engine] || self.models[engine].is_idle() {
            return;
        }
        let (duration, events) = self.models[engine].step(now);
        self.busy[engine] = true;
        self.step_events[engine] = events;
        self.schedule(now.after(duration), SimulationEvent::StepEnd(engine));
    }

    pub(super) fn finish_step(&mut self, engine: usize, now: Moment) {
        self.busy[engine] = false;
        for event in std::mem::take(&mut self.step_events[engine]) {
            match event {
                Event::Token { generation, last, .. } => self.record_token(generation, last, now),
                Event::Preempted { .. } => self.preemptions += 1,
                Event::Crashed => self.handle_crash(engine, now),
            }
        }
        self.start_step(engine, now);
    }

    pub(super) fn record_token(&mut self, generation: GenerationId, last: bool, now: Moment) {
        let ticket = u64::from_str_radix(&generation.to_string()[16..], 16).unwrap_or(0);
        let Some(request) = self.tickets.get(&ticket).copied() else { return };
        self.outcomes[request].token(now);
        self.nodes[Self::node_index(request)].token(Ticket(ticket), now);
        if last {
            self.outcomes[request].whole = true;
            self.finish(request, End::Finished, now);
        }
    }

    pub(super) fn handle_crash(&mut self, engine: usize, now: Moment) {
        for request in std::mem::take(&mut self.assigned[engine]) {
            let state = &mut self.requests[request];
            state.engine = None;
            state.avoid.insert(endpoint(engine));
            let started = self.outcomes[request].started();
            if started || state.attempts >= MAX_ATTEMPTS {
                self.finish(request, End::Failed, now);
            } else {
                let ticket = state.ticket;
                self.tickets.remove(&ticket);
                self.nodes[Self::node_index(request)].end(Ticket(ticket), End::Failed, now);
                self.place_request(request, now);
            }
        }
    }
}
