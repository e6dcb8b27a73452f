//! Common scheduling policies, as baselines for the scheduler.
//!
//! They use the same load reports and heartbeats. All skip engines that report a cold start:
//! without that, each returning engine would crash at once and the comparison would say little.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::driver::Decider;
use nutmeggrade_policy::{End, Engine, GenerationRequest, Ticket, Verdict};

/// Fixed limit of generations in an engine's batch, over all instances; the engine's memory divided
/// by the mean memory of a long generation.
const MAX_BATCH: u32 = 24;

/// Selection rule of a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Selects the engines in turn.
    RoundRobin,
    /// Selects the engine with the fewest requests in flight, by own count and peers' heartbeats.
    LeastOutstanding,
    /// Selects the engine with the least reserved memory, counting prompt plus token limit.
    ReserveMax,
    /// Like `LeastOutstanding`, among engines whose batch is below a fixed limit.
    FixedBatch,
}

impl Rule {
    pub const ALL: [Self; 4] =
        [Self::RoundRobin, Self::LeastOutstanding, Self::ReserveMax, Self::FixedBatch];

    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::ReserveMax => "reserve maximum",
            Self::FixedBatch => "fixed batch",
        }
    }
}

#[derive(Debug)]
struct EngineState {
    memory: u64,
    peers: u32,
    cold: bool,
    usable: bool,
    reservations: BTreeMap<Ticket, u64>,
}

impl EngineState {
    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.reservations.len()).unwrap_or(u32::MAX) + self.peers
    }

    fn reserved_memory(&self) -> u64 {
        self.reservations.values().sum()
    }
}

/// The baseline policy of one instance.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    engines: BTreeMap<EndpointId, EngineState>,
    queue: VecDeque<GenerationRequest>,
    next_index: usize,
    mean_reservation: f64,
}

impl Baseline {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            engines: BTreeMap::new(),
            queue: VecDeque::new(),
            next_index: 0,
            mean_reservation: 0.0,
        }
    }

    fn select_engine(&mut self, request: &GenerationRequest) -> Option<EndpointId> {
        let reservation = request.prompt + request.max_tokens;
        let mean_reservation = self.mean_reservation;
        let fits = |p: &EngineState| match self.rule {
            Rule::RoundRobin | Rule::LeastOutstanding => true,
            Rule::FixedBatch => p.in_flight_count() < MAX_BATCH,
            Rule::ReserveMax => {
                let peers = f64::from(p.peers) * mean_reservation;
                p.reserved_memory() as f64 + peers + reservation as f64 <= p.memory as f64
            }
        };
        let eligible: Vec<_> = self
            .engines
            .iter()
            .filter(|(id, p)| p.usable && !p.cold && !request.avoid.contains(*id) && fits(p))
            .collect();
        let next_index = self.next_index;
        let eligible_count = eligible.len();
        let (id, _) = match self.rule {
            Rule::RoundRobin => eligible.get(next_index.checked_rem(eligible_count)?).copied()?,
            Rule::LeastOutstanding | Rule::FixedBatch => {
                let order =
                    (0..eligible_count).map(|i| eligible[(i + next_index) % eligible_count]);
                order.min_by_key(|(_, p)| p.in_flight_count())?
            }
            Rule::ReserveMax => {
                let order =
                    (0..eligible_count).map(|i| eligible[(i + next_index) % eligible_count]);
                let load = |p: &EngineState| {
                    p.reserved_memory() as f64 + f64::from(p.peers) * mean_reservation
                };
                order.min_by(|a, b| load(a.1).total_cmp(&load(b.1)))?
            }
        };
        let id = id.clone();
        self.next_index += 1;
        self.mean_reservation += 0.02 * (reservation as f64 - self.mean_reservation);
        self.engines.get_mut(&id)?.reservations.insert(request.ticket, reservation);
        Some(id)
    }
}

impl Decider for Baseline {
    fn set_engines(&mut self, engines: &[Engine], _now: Moment) {
        for state in self.engines.values_mut() {
            state.usable = false;
        }
        for engine in engines {
            let state = self.engines.entry(engine.id.clone()).or_insert_with(|| EngineState {
                memory: engine.memory,
                peers: 0,
                cold: false,
                usable: true,
                reservations: BTreeMap::new(),
            });
            state.usable = true;
        }
    }

    fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, _now: Moment) {
        if let Some(state) = self.engines.get_mut(endpoint) {
            state.cold = report.cold;
        }
    }

    fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, _now: Moment) {
        for (id, state) in &mut self.engines {
            state.peers = in_flight.get(id).copied().unwrap_or(0);
        }
    }

    fn admit(&mut self, request: &GenerationRequest, _now: Moment) -> Verdict {
        if self.queue.is_empty()
            && let Some(endpoint) = self.select_engine(request)
        {
            return Verdict::Go { endpoint, priority: 0 };
        }
        self.queue.push_back(request.clone());
        Verdict::Wait
    }

    fn release(&mut self, _now: Moment) -> Vec<(Ticket, Verdict)> {
        let mut placements = Vec::new();
        while let Some(request) = self.queue.front().cloned() {
            let Some(endpoint) = self.select_engine(&request) else { break };
            self.queue.pop_front();
            placements.push((request.ticket, Verdict::Go { endpoint, priority: 0 }));
        }
        placements
    }

    fn token(&mut self, _ticket: Ticket, _now: Moment) {}

    fn end(&mut self, ticket: Ticket, _end: End, _now: Moment) {
        self.queue.retain(|a| a.ticket != ticket);
        for state in self.engines.values_mut() {
            state.reservations.remove(&ticket);
        }
    }

    fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        let counts = self.engines.iter().filter(|(_, p)| !p.reservations.is_empty());
        counts
            .map(|(id, p)| (id.clone(), u32::try_from(p.reservations.len()).unwrap_or(u32::MAX)))
            .collect()
    }
}
