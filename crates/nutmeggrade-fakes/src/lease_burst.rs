//! A burst of requests to engines in virtual time, with and without leases.

mod burst_engine;
mod figures;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EngineSpec, RouteKind};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{
    Candidate, DispatchDecision, DispatchRequest, Dispatcher, HoldDecision, HoldQuery,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::burst_engine::{BurstEngine, EngineEvent, EngineRequest, MEMORY, PROMPT_RATE, SLOTS};
pub use self::figures::BurstFigures;

const ENGINES: usize = 8;
const INSTANCES: usize = 9;
/// Requests per second and engine without a burst, by kind: urgent, less urgent.
const RATES: [f64; 2] = [57.2 / 71.0, 29.5 / 71.0];
const PRIORITIES: [u8; 2] = [0, 2];
const PROMPTS: [u64; 2] = [2_200, 3_000];
/// Expected output in tokens.
const OUTPUTS: [u64; 2] = [8, 748];
/// Timeouts of the clients.
const TIME_LIMITS: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(39)];
/// Longest time in which requests wait at their instance.
const PATIENCE: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(12)];
const BURST_FACTOR: f64 = 3.0;
/// Beginning and end of the burst, and end of the simulation, in milliseconds.
const BURST: (u64, u64) = (1_000, 9_000);
const END: u64 = 20_000;
/// Time of a message from an instance to an engine or back, in milliseconds.
const WAY: u64 = 2;
/// Interval at which instances send their placements, in milliseconds, as instances of a small fleet
/// do.
const EXCHANGE: u64 = 15;
const TICK: u64 = 100;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A placed request is about to be sent.
    Placed(usize),
    /// A call for a lease reaches its engine.
    Take(usize),
    /// The answer reaches the instance.
    Answer(usize, bool),
    /// The request reaches its engine.
    Arrival(usize),
}

#[derive(Debug)]
struct Request {
    kind: usize,
    instance: usize,
    dispatch: DispatchRequest,
    output: u64,
    engine: usize,
    sent_at: u64,
    has_begun: bool,
    has_first: bool,
}

/// A burst at three times the usual load, on a ninth of the fleet.
#[derive(Debug)]
pub struct LeaseBurst {
    engines: Vec<BurstEngine>,
    instances: Vec<Dispatcher>,
    requests: Vec<Request>,
    tickets: BTreeMap<Ticket, usize>,
    events: BTreeMap<u64, Vec<Event>>,
    spec: EngineSpec,
    rng: ChaCha8Rng,
    figures: BurstFigures,
}

impl LeaseBurst {
    /// Creates a burst; engines grant leases of up to `lease_time`.
    pub fn new(seed: u64, lease_time: Duration) -> Self {
        let domain = domain();
        let candidate = |number| Candidate {
            id: engine_id(number),
            domain: domain.clone(),
            version: None,
            slots: SLOTS,
            memory: Some(MEMORY),
            cold_left: None,
            turn: None,
            is_canary: false,
        };
        let candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        let dispatcher = |number| {
            let mut dispatcher = Dispatcher::new(&domain, seed + number as u64);
            dispatcher.set_candidates(BTreeMap::from([(service(), candidates.clone())]));
            dispatcher
        };
        Self {
            engines: (0..ENGINES).map(|_| BurstEngine::default()).collect(),
            instances: (0..INSTANCES).map(dispatcher).collect(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            events: BTreeMap::new(),
            spec: engine_spec(MEMORY, lease_time),
            rng: ChaCha8Rng::seed_from_u64(seed),
            figures: BurstFigures::default(),
        }
    }

    /// Runs the burst until all its requests have ended.
    pub fn run(mut self) -> BurstFigures {
        for now in 0..END {
            self.draw_arrivals(now);
            for event in self.events.remove(&now).unwrap_or_default() {
                self.handle(event, now);
            }
            for engine in 0..ENGINES {
                for event in self.engines[engine].advance(now) {
                    self.note(event, engine, now);
                }
            }
            if now.is_multiple_of(EXCHANGE) {
                self.exchange();
            }
            for instance in 0..INSTANCES {
                if now % TICK == instance as u64 {
                    self.release(instance, now);
                }
            }
        }
        self.figures.begin_waits.sort_unstable();
        self.figures.first_waits.sort_unstable();
        self.figures
    }

    fn draw_arrivals(&mut self, now: u64) {
        let factor = if (BURST.0..BURST.1).contains(&now) { BURST_FACTOR } else { 1.0 };
        for (kind, rate) in RATES.iter().enumerate() {
            let chance = rate * ENGINES as f64 * factor / 1_000.0;
            if now < BURST.1 && self.rng.random::<f64>() < chance {
                self.add_request(kind, now);
            }
        }
    }

    fn add_request(&mut self, kind: usize, now: u64) {
        let index = self.requests.len();
        let instance = self.rng.random_range(0..INSTANCES);
        // Half of the long outputs are longer than their clients expect.
        let output = if kind == 0 { OUTPUTS[0] } else { 4 * self.rng.random_range(20..355) };
        let dispatch = DispatchRequest {
            ticket: Ticket(index as u64),
            workspace: WorkspaceId::new("w").expect("a valid id"),
            service: service(),
            priority: PRIORITIES[kind],
            prompt: PROMPTS[kind],
            memory: PROMPTS[kind] + OUTPUTS[kind],
            avoid: BTreeSet::new(),
            start_deadline: Moment::from_millis(now).after(PATIENCE[kind]),
            deadline: Moment::from_millis(now).after(TIME_LIMITS[kind]),
            from: None,
            version: None,
            is_canary: false,
        };
        self.requests.push(Request {
            kind,
            instance,
            dispatch,
            output,
            engine: 0,
            sent_at: 0,
            has_begun: false,
            has_first: false,
        });
        self.place(index, now);
    }

    fn place(&mut self, index: usize, now: u64) {
        let request = &self.requests[index];
        self.tickets.insert(request.dispatch.ticket, index);
        let (dispatcher, at) = (&mut self.instances[request.instance], Moment::from_millis(now));
        let decision = dispatcher.request_placement(&request.dispatch, PATIENCE[request.kind], at);
        if let DispatchDecision::Go(engine) = decision {
            self.placed(index, &engine, now);
        }
    }

    fn placed(&mut self, index: usize, engine: &EndpointId, now: u64) {
        self.requests[index].engine =
            (0..ENGINES).find(|n| engine_id(*n) == *engine).unwrap_or_default();
        self.schedule(now + 1, Event::Placed(index));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Placed(index) => self.decide(index, now),
            Event::Take(index) => {
                let request = &self.requests[index];
                let engine = &mut self.engines[request.engine];
                let is_granted = engine.take_lease(index, request.dispatch.memory, now);
                self.schedule(now + WAY, Event::Answer(index, is_granted));
            }
            Event::Answer(index, is_granted) => {
                let request = &self.requests[index];
                let (endpoint, at) = (engine_id(request.engine), Moment::from_millis(now));
                let holds = &mut self.instances[request.instance].holds;
                if is_granted {
                    self.figures.granted += 1;
                    holds.record_granted(&endpoint);
                    self.send(index, now);
                } else {
                    self.figures.refused += 1;
                    holds.record_full(&endpoint, request.dispatch.priority, at);
                    self.place_again(index, now);
                }
            }
            Event::Arrival(index) => {
                let request = &self.requests[index];
                self.engines[request.engine].receive(EngineRequest {
                    index,
                    priority: request.dispatch.priority,
                    prompt: request.dispatch.prompt,
                    output: request.output,
                    leased: 0,
                });
            }
        }
    }

    fn decide(&mut self, index: usize, now: u64) {
        let request = &self.requests[index];
        let (endpoint, at) = (engine_id(request.engine), Moment::from_millis(now));
        let dispatcher = &mut self.instances[request.instance];
        let query = HoldQuery {
            request: &request.dispatch,
            kind: RouteKind::Streaming,
            endpoint: &endpoint,
            engine: &self.spec,
            committed: dispatcher.load_table.load(&endpoint).memory,
        };
        match dispatcher.holds.decide(&query, at) {
            HoldDecision::Send => self.send(index, now),
            HoldDecision::Take(_) => {
                dispatcher.holds.begin_call(&endpoint);
                self.schedule(now + WAY, Event::Take(index));
            }
            HoldDecision::Wait => self.schedule(now + 1, Event::Placed(index)),
            HoldDecision::Full => self.place_again(index, now),
        }
    }

    fn send(&mut self, index: usize, now: u64) {
        self.figures.sent += 1;
        self.requests[index].sent_at = now;
        self.schedule(now + WAY, Event::Arrival(index));
    }

    fn place_again(&mut self, index: usize, now: u64) {
        let request = &mut self.requests[index];
        self.instances[request.instance].load_table.end(request.dispatch.ticket);
        request.dispatch.ticket = Ticket(request.dispatch.ticket.0 + 1_000_000);
        self.place(index, now);
    }

    fn note(&mut self, event: EngineEvent, engine: usize, now: u64) {
        let (EngineEvent::Begun(index)
        | EngineEvent::First(index)
        | EngineEvent::Ended(index)
        | EngineEvent::Preempted(index)) = event;
        let request = &mut self.requests[index];
        let (dispatcher, ticket) = (&mut self.instances[request.instance], request.dispatch.ticket);
        let waited = now - request.sent_at;
        match event {
            EngineEvent::Begun(_) if !request.has_begun => {
                request.has_begun = true;
                self.figures.begin_waits.push(waited);
            }
            EngineEvent::Begun(_) => self.figures.run_again += 1,
            EngineEvent::First(_) => {
                if !std::mem::replace(&mut request.has_begun, true) {
                    // With a lease it began as it arrived.
                    self.figures.begin_waits.push(WAY);
                }
                let prompt_time = request.dispatch.prompt / PROMPT_RATE;
                // A request that was preempted has its first event again.
                if !std::mem::replace(&mut request.has_first, true) {
                    self.figures.first_waits.push(waited.saturating_sub(prompt_time));
                }
                dispatcher.load_table.record_prompt_read(ticket);
                let waiting = u32::try_from(self.engines[engine].waiting()).unwrap_or(u32::MAX);
                let at = Moment::from_millis(now);
                dispatcher.holds.record_report(&engine_id(engine), waiting, at);
            }
            EngineEvent::Ended(_) => {
                let instance = request.instance;
                dispatcher.load_table.end(ticket);
                self.release(instance, now);
            }
            EngineEvent::Preempted(_) => {}
        }
    }

    fn release(&mut self, instance: usize, now: u64) {
        let released = self.instances[instance].release(Moment::from_millis(now));
        for (ticket, engine) in released {
            if let Some(index) = self.tickets.get(&ticket).copied() {
                self.placed(index, &engine, now);
            }
        }
    }

    fn exchange(&mut self) {
        for sender in 0..INSTANCES {
            let changes = self.instances[sender].load_table.take_changes();
            let name = InstanceId::new(&format!("i-{sender}")).expect("a valid id");
            for receiver in (0..INSTANCES).filter(|n| *n != sender) {
                self.instances[receiver].load_table.change_peer(&name, &changes.placed);
            }
        }
    }
}

fn engine_id(number: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{number:02}")).expect("a valid id")
}

fn domain() -> DomainId {
    DomainId::new("near").expect("a valid id")
}

fn service() -> ServiceId {
    ServiceId::new("writers").expect("a valid id")
}

/// Returns the properties of engines with this much memory that grant leases of this length.
pub const fn engine_spec(memory: u64, lease_time: Duration) -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        memory,
        token_bytes: 1,
        link_mbps: 1.0,
        can_move: false,
        can_replicate: false,
        stride: 4,
        copy_retention: Duration::ZERO,
        lease_time,
    }
}
