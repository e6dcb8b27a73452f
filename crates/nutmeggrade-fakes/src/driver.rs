//! Plays a pattern of load in virtual time: several deciders, each with its own lagging view, over
//! the engines' [`Model`]. The same pattern and seed give the same figures.

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
pub use pattern::Pattern;
pub use shape::{CAPACITY, Shape};

/// Instances that decide; as many as each deployment has today.
pub const NODES: usize = 7;
/// Engines, in three failure domains.
pub const ENGINES: usize = 12;
/// Failure domains.
pub const DOMAINS: usize = 3;
/// Between two looks at the queue; the node's own tick is 7 ms.
const TICK: Duration = Duration::from_millis(10);
/// Between two load reports of an engine.
const POLL: Duration = Duration::from_millis(250);
/// Between two heartbeats of an instance.
const BEACON: Duration = Duration::from_millis(500);
/// Engines that a request is tried on before its first token.
const ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum What {
    Arrive(usize),
    Change(usize),
    Step(usize),
    Tick,
    Poll,
    Beacon,
    Deadline(usize),
}

#[derive(Debug, Default)]
struct Live {
    attempt: u64,
    place: Option<usize>,
    avoid: BTreeSet<EndpointId>,
    tries: usize,
    over: bool,
}

/// The world in virtual time.
#[derive(Debug)]
pub struct Driver<'a, D> {
    pattern: &'a Pattern,
    nodes: Vec<D>,
    models: Vec<Model>,
    busy: Vec<bool>,
    held: Vec<BTreeSet<usize>>,
    out: Vec<bool>,
    pending: BTreeMap<(Moment, u64), What>,
    events: Vec<Vec<Event>>,
    reports: Vec<VecDeque<(Moment, LoadReport)>>,
    beacons: VecDeque<(Moment, Vec<BTreeMap<EndpointId, u32>>)>,
    live: Vec<Live>,
    tickets: BTreeMap<u64, usize>,
    outcomes: Vec<Outcome>,
    preemptions: u64,
    sequence: u64,
    next_ticket: u64,
}

/// Returns the name of an engine; they are dealt to the domains in turn.
///
/// # Panics
///
/// Never: the name is a valid id.
pub fn endpoint(engine: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{engine:02}")).expect("a valid id")
}

impl<'a, D: Decider> Driver<'a, D> {
    /// Makes a world of idle, warm engines; `make` builds the decider of each instance.
    pub fn new(pattern: &'a Pattern, make: impl FnMut(usize) -> D) -> Self {
        let count = pattern.arrivals.len();
        Self {
            pattern,
            nodes: (0..NODES).map(make).collect(),
            models: (0..ENGINES).map(|_| Model::new(&pattern.spec)).collect(),
            busy: vec![false; ENGINES],
            held: vec![BTreeSet::new(); ENGINES],
            out: vec![false; DOMAINS],
            pending: BTreeMap::new(),
            events: vec![Vec::new(); ENGINES],
            reports: vec![VecDeque::new(); ENGINES],
            beacons: VecDeque::new(),
            live: (0..count).map(|_| Live::default()).collect(),
            tickets: BTreeMap::new(),
            outcomes: vec![Outcome::default(); count],
            preemptions: 0,
            sequence: 0,
            next_ticket: 0,
        }
    }

    /// Plays the pattern to its end.
    pub fn run(mut self) -> Figures {
        self.tell_engines(Moment::ZERO);
        for (i, arrival) in self.pattern.arrivals.iter().enumerate() {
            self.at(arrival.at, What::Arrive(i));
            self.at(arrival.deadline, What::Deadline(i));
        }
        for (i, change) in self.pattern.changes.iter().enumerate() {
            self.at(change.at(), What::Change(i));
        }
        for what in [What::Poll, What::Beacon, What::Tick] {
            self.at(Moment::ZERO, what);
        }
        while let Some(((now, _), what)) = self.pending.pop_first() {
            if now > self.pattern.end {
                break;
            }
            self.play(what, now);
        }
        let crashes = self.models.iter().map(Model::crashes).sum();
        Figures::new(self.pattern, &self.outcomes, self.preemptions, crashes)
    }

    fn at(&mut self, when: Moment, what: What) {
        self.sequence += 1;
        self.pending.insert((when, self.sequence), what);
    }

    fn play(&mut self, what: What, now: Moment) {
        match what {
            What::Arrive(i) => self.admit(i, now),
            What::Change(i) => self.change(i, now),
            What::Step(engine) => self.stepped(engine, now),
            What::Deadline(i) => self.finish(i, End::Cancelled, now),
            What::Tick => {
                self.tick(now);
                self.at(now.after(TICK), What::Tick);
            }
            What::Poll => {
                self.poll(now);
                self.at(now.after(POLL), What::Poll);
            }
            What::Beacon => {
                self.beacon(now);
                self.at(now.after(BEACON), What::Beacon);
            }
        }
    }

    fn node(request: usize) -> usize {
        request % NODES
    }

    fn admit(&mut self, request: usize, now: Moment) {
        let arrival = &self.pattern.arrivals[request];
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, request);
        let live = &mut self.live[request];
        live.attempt = ticket;
        live.tries += 1;
        let generation = arrival.request(Ticket(ticket), &live.avoid);
        let verdict = self.nodes[Self::node(request)].admit(&generation, now);
        self.decided(request, &verdict, now);
    }

    fn decided(&mut self, request: usize, verdict: &Verdict, now: Moment) {
        match verdict {
            Verdict::Wait => {}
            Verdict::Refuse { .. } => {
                let fits = (0..ENGINES).any(|e| self.fits(e, request, now));
                let outcome = &mut self.outcomes[request];
                outcome.refused = true;
                outcome.false_refusal = fits;
                self.live[request].over = true;
                self.tickets.remove(&self.live[request].attempt);
            }
            Verdict::Go { endpoint: id, priority } => {
                let engine = (0..ENGINES).find(|e| endpoint(*e) == *id).expect("a known engine");
                self.submit(request, engine, *priority, now);
            }
        }
    }

    fn finish(&mut self, request: usize, end: End, now: Moment) {
        let live = &mut self.live[request];
        if live.over {
            return;
        }
        live.over = true;
        let ticket = live.attempt;
        self.tickets.remove(&ticket);
        if let Some(engine) = live.place.take() {
            self.held[engine].remove(&request);
            let mut bytes = [0; 16];
            bytes[8..].copy_from_slice(&ticket.to_be_bytes());
            self.models[engine].cancel(GenerationId::new(bytes));
        }
        self.nodes[Self::node(request)].end(Ticket(ticket), end, now);
    }

    fn tick(&mut self, now: Moment) {
        for node in 0..NODES {
            for (ticket, verdict) in self.nodes[node].release(now) {
                if let Some(request) = self.tickets.get(&ticket.0).copied() {
                    self.decided(request, &verdict, now);
                }
            }
        }
    }

    fn change(&mut self, index: usize, now: Moment) {
        match self.pattern.changes[index] {
            Change::Slow { engine, factor, .. } => self.models[engine].set_slow(factor),
            Change::Cold { engine, .. } => self.models[engine].set_cold(now),
            Change::Out { domain, .. } => self.out[domain] = true,
            Change::Back { domain, .. } => self.out[domain] = false,
            Change::Restart { domain, .. } => {
                for engine in (0..ENGINES).filter(|e| e % DOMAINS == domain) {
                    self.models[engine].set_cold(now);
                }
            }
        }
        self.tell_engines(now);
    }
}

/// The engine of every pattern.
pub fn spec() -> Spec {
    Spec::default()
}
