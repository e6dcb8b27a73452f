//! Plays a pattern of load in virtual time: several deciders, each with its own lagging view, over
//! the engines' [`Model`]. The same pattern and seed give the same figures.

mod decider;
mod figures;
mod pattern;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Engine, Ticket, Verdict};

use crate::engine::{Event, Job, Model, Spec};

pub use decider::Decider;
pub use figures::{Figures, Outcome};
pub use pattern::{Arrival, Change, Pattern, Shape, model, workspace};

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
            What::Arrive(i) => self.ask(i, now),
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

    fn ask(&mut self, request: usize, now: Moment) {
        let arrival = &self.pattern.arrivals[request];
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, request);
        let live = &mut self.live[request];
        live.attempt = ticket;
        live.tries += 1;
        let ask = arrival.ask(Ticket(ticket), &live.avoid);
        let verdict = self.nodes[Self::node(request)].ask(&ask, now);
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

    /// Says whether an engine could take the request, knowing every true length.
    fn fits(&self, engine: usize, request: usize, now: Moment) -> bool {
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

    fn submit(&mut self, request: usize, engine: usize, priority: i32, now: Moment) {
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

    fn kick(&mut self, engine: usize, now: Moment) {
        if self.busy[engine] || self.models[engine].is_idle() {
            return;
        }
        let (took, events) = self.models[engine].step(now);
        self.busy[engine] = true;
        self.events[engine] = events;
        self.at(now.after(took), What::Step(engine));
    }

    fn stepped(&mut self, engine: usize, now: Moment) {
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

    fn token(&mut self, generation: GenerationId, last: bool, now: Moment) {
        let number = u64::from_str_radix(&generation.to_string()[16..], 16).unwrap_or(0);
        let Some(request) = self.tickets.get(&number).copied() else { return };
        self.outcomes[request].token(now);
        self.nodes[Self::node(request)].token(Ticket(number), now);
        if last {
            self.outcomes[request].whole = true;
            self.finish(request, End::Finished, now);
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

    fn crashed(&mut self, engine: usize, now: Moment) {
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
                self.ask(request, now);
            }
        }
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

    fn poll(&mut self, now: Moment) {
        let lag = self.pattern.report_lag;
        for engine in 0..ENGINES {
            let fresh = self.models[engine].load(now);
            let reports = &mut self.reports[engine];
            reports.push_back((now, fresh));
            while reports.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
                reports.pop_front();
            }
            let (at, report) = &reports[0];
            let report = LoadReport { age: now.since(*at), ..report.clone() };
            for node in &mut self.nodes {
                node.report(&endpoint(engine), &report, now);
            }
        }
    }

    fn beacon(&mut self, now: Moment) {
        let counts = self.nodes.iter().map(Decider::in_flight).collect();
        self.beacons.push_back((now, counts));
        while self.beacons.get(1).is_some_and(|(at, _)| now.since(*at) >= BEACON) {
            self.beacons.pop_front();
        }
        let (_, counts) = &self.beacons[0];
        for (own, node) in self.nodes.iter_mut().enumerate() {
            let mut sum = BTreeMap::new();
            for (_, of_peer) in counts.iter().enumerate().filter(|(peer, _)| *peer != own) {
                for (id, count) in of_peer {
                    *sum.entry(id.clone()).or_insert(0) += count;
                }
            }
            node.set_peers(&sum, now);
        }
        self.tell_engines(now);
    }

    fn tell_engines(&mut self, now: Moment) {
        for (own, node) in self.nodes.iter_mut().enumerate() {
            let usable = (0..ENGINES).filter(|e| !self.out[e % DOMAINS]);
            let engines: Vec<_> = usable
                .map(|e| Engine {
                    id: endpoint(e),
                    domain: DomainId::new(&format!("domain-{}", e % DOMAINS)).expect("a valid id"),
                    models: BTreeSet::from([model()]),
                    memory: self.pattern.spec.memory,
                    cold_right: if e % NODES == own { self.pattern.spec.cold_limit } else { 0 },
                    sharers: u32::try_from(NODES).unwrap_or(1),
                })
                .collect();
            node.set_engines(&engines, now);
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
