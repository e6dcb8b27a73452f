//! Simulates a load pattern in virtual time: several deciders, each with a lagging view of its own,
//! place requests on [`Model`] engines. The same pattern and seed give the same figures.

mod arrival;
mod change;
mod decider;
mod engines;
mod figures;
mod pattern;
mod shape;
mod views;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Ticket, Verdict};

use crate::engine::{Event, Model, Spec};

pub use arrival::{Arrival, model, workspace};
pub use change::Change;
pub use decider::Decider;
pub use figures::{Figures, Outcome};
pub use pattern::LoadPattern;
pub use shape::{CAPACITY_PER_SECOND, LoadShape};

/// Number of instances, each with its own decider; the size of the current deployments.
pub const NODES: usize = 7;
/// Number of engines.
pub const ENGINES: usize = 12;
/// Number of failure domains, over which the engines are distributed.
pub const DOMAINS: usize = 3;
/// Interval between two checks of the queues; an instance's own interval is 7 ms.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two load reports of an engine.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of attempts for a request that has no token yet.
const MAX_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum SimulationEvent {
    Arrival(usize),
    Change(usize),
    StepEnd(usize),
    QueueCheck,
    LoadReports,
    Heartbeats,
    Deadline(usize),
}

#[derive(Debug, Default)]
struct RequestState {
    ticket: u64,
    engine: Option<usize>,
    avoid: BTreeSet<EndpointId>,
    attempts: usize,
    ended: bool,
}

/// A discrete-event simulation of instances and engines.
#[derive(Debug)]
pub struct Simulation<'a, D> {
    pattern: &'a LoadPattern,
    nodes: Vec<D>,
    models: Vec<Model>,
    busy: Vec<bool>,
    assigned: Vec<BTreeSet<usize>>,
    out_domains: Vec<bool>,
    pending: BTreeMap<(Moment, u64), SimulationEvent>,
    step_events: Vec<Vec<Event>>,
    reports: Vec<VecDeque<(Moment, LoadReport)>>,
    heartbeats: VecDeque<(Moment, Vec<BTreeMap<EndpointId, u32>>)>,
    requests: Vec<RequestState>,
    tickets: BTreeMap<u64, usize>,
    outcomes: Vec<Outcome>,
    preemptions: u64,
    sequence: u64,
    next_ticket: u64,
}

/// Returns the id of an engine; engines are assigned to the domains in turn.
///
/// # Panics
///
/// Never: the text is a valid id.
pub fn endpoint(engine: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{engine:02}")).expect("a valid id")
}

impl<'a, D: Decider> Simulation<'a, D> {
    /// Creates a simulation with idle, warm engines; `make` builds the decider of each instance.
    pub fn new(pattern: &'a LoadPattern, make: impl FnMut(usize) -> D) -> Self {
        let count = pattern.arrivals.len();
        Self {
            pattern,
            nodes: (0..NODES).map(make).collect(),
            models: (0..ENGINES).map(|_| Model::new(&pattern.spec)).collect(),
            busy: vec![false; ENGINES],
            assigned: vec![BTreeSet::new(); ENGINES],
            out_domains: vec![false; DOMAINS],
            pending: BTreeMap::new(),
            step_events: vec![Vec::new(); ENGINES],
            reports: vec![VecDeque::new(); ENGINES],
            heartbeats: VecDeque::new(),
            requests: (0..count).map(|_| RequestState::default()).collect(),
            tickets: BTreeMap::new(),
            outcomes: vec![Outcome::default(); count],
            preemptions: 0,
            sequence: 0,
            next_ticket: 0,
        }
    }

    /// Runs the pattern to its end.
    pub fn run(mut self) -> Figures {
        self.announce_engines(Moment::ZERO);
        for (i, arrival) in self.pattern.arrivals.iter().enumerate() {
            self.schedule(arrival.at, SimulationEvent::Arrival(i));
            self.schedule(arrival.deadline, SimulationEvent::Deadline(i));
        }
        for (i, change) in self.pattern.changes.iter().enumerate() {
            self.schedule(change.at(), SimulationEvent::Change(i));
        }
        for event in
            [SimulationEvent::LoadReports, SimulationEvent::Heartbeats, SimulationEvent::QueueCheck]
        {
            self.schedule(Moment::ZERO, event);
        }
        while let Some(((now, _), event)) = self.pending.pop_first() {
            if now > self.pattern.end {
                break;
            }
            self.handle(event, now);
        }
        let crashes = self.models.iter().map(Model::crashes).sum();
        Figures::new(self.pattern, &self.outcomes, self.preemptions, crashes)
    }

    fn schedule(&mut self, time: Moment, event: SimulationEvent) {
        self.sequence += 1;
        self.pending.insert((time, self.sequence), event);
    }

    fn handle(&mut self, event: SimulationEvent, now: Moment) {
        match event {
            SimulationEvent::Arrival(i) => self.place_request(i, now),
            SimulationEvent::Change(i) => self.apply_change(i, now),
            SimulationEvent::StepEnd(engine) => self.finish_step(engine, now),
            SimulationEvent::Deadline(i) => self.finish(i, End::Cancelled, now),
            SimulationEvent::QueueCheck => {
                self.release_queued(now);
                self.schedule(now.after(QUEUE_CHECK_INTERVAL), SimulationEvent::QueueCheck);
            }
            SimulationEvent::LoadReports => {
                self.deliver_reports(now);
                self.schedule(now.after(LOAD_REPORT_INTERVAL), SimulationEvent::LoadReports);
            }
            SimulationEvent::Heartbeats => {
                self.exchange_heartbeats(now);
                self.schedule(now.after(HEARTBEAT_INTERVAL), SimulationEvent::Heartbeats);
            }
        }
    }

    fn node_index(request: usize) -> usize {
        request % NODES
    }

    fn place_request(&mut self, request: usize, now: Moment) {
        let arrival = &self.pattern.arrivals[request];
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, request);
        let state = &mut self.requests[request];
        state.ticket = ticket;
        state.attempts += 1;
        let generation_request = arrival.to_request(Ticket(ticket), &state.avoid);
        let verdict = self.nodes[Self::node_index(request)].admit(&generation_request, now);
        self.apply_verdict(request, &verdict, now);
    }

    fn apply_verdict(&mut self, request: usize, verdict: &Verdict, now: Moment) {
        match verdict {
            Verdict::Wait => {}
            Verdict::Refuse { .. } => {
                let fits = (0..ENGINES).any(|e| self.fits(e, request, now));
                let outcome = &mut self.outcomes[request];
                outcome.refused = true;
                outcome.false_refusal = fits;
                self.requests[request].ended = true;
                self.tickets.remove(&self.requests[request].ticket);
            }
            Verdict::Go { endpoint: id, priority } => {
                let engine = (0..ENGINES).find(|e| endpoint(*e) == *id).expect("a known engine");
                self.submit(request, engine, *priority, now);
            }
        }
    }

    fn finish(&mut self, request: usize, end: End, now: Moment) {
        let state = &mut self.requests[request];
        if state.ended {
            return;
        }
        state.ended = true;
        let ticket = state.ticket;
        self.tickets.remove(&ticket);
        if let Some(engine) = state.engine.take() {
            self.assigned[engine].remove(&request);
            let mut bytes = [0; 16];
            bytes[8..].copy_from_slice(&ticket.to_be_bytes());
            self.models[engine].cancel(GenerationId::new(bytes));
        }
        self.nodes[Self::node_index(request)].end(Ticket(ticket), end, now);
    }

    fn release_queued(&mut self, now: Moment) {
        for node in 0..NODES {
            for (ticket, verdict) in self.nodes[node].release(now) {
                if let Some(request) = self.tickets.get(&ticket.0).copied() {
                    self.apply_verdict(request, &verdict, now);
                }
            }
        }
    }

    fn apply_change(&mut self, index: usize, now: Moment) {
        match self.pattern.changes[index] {
            Change::Slow { engine, factor, .. } => self.models[engine].set_slow(factor),
            Change::Cold { engine, .. } => self.models[engine].set_cold(now),
            Change::Out { domain, .. } => self.out_domains[domain] = true,
            Change::Back { domain, .. } => self.out_domains[domain] = false,
            Change::Restart { domain, .. } => {
                for engine in (0..ENGINES).filter(|e| e % DOMAINS == domain) {
                    self.models[engine].set_cold(now);
                }
            }
        }
        self.announce_engines(now);
    }
}

/// Returns the engine specification that all patterns use.
pub fn spec() -> Spec {
    Spec::default()
}
