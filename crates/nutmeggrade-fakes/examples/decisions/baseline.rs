//! The usual policies that the scheduler is compared with.
//!
//! They read the same reports and heartbeats. All pass over engines that report a cold start, since
//! otherwise each returning engine would fall over at once and the comparison would say little.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::driver::Decider;
use nutmeggrade_policy::{End, Engine, GenerationRequest, Ticket, Verdict};

/// Generations in a batch under the fixed limit, over all instances; the engines' memory divided by
/// the mean memory of a long generation.
const BATCH: u32 = 24;

/// How a baseline decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Every engine in turn.
    RoundRobin,
    /// The engine with the fewest in flight, by own count and peers' heartbeats.
    LeastOutstanding,
    /// The engine with the most memory that is not reserved; a reservation is prompt and limit.
    ReserveMax,
    /// Least outstanding, as long as the batch is under a fixed limit.
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
struct Place {
    memory: u64,
    peers: u32,
    cold: bool,
    usable: bool,
    own: BTreeMap<Ticket, u64>,
}

impl Place {
    fn count(&self) -> u32 {
        u32::try_from(self.own.len()).unwrap_or(u32::MAX) + self.peers
    }

    fn reserved(&self) -> u64 {
        self.own.values().sum()
    }
}

/// A baseline of one instance.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    places: BTreeMap<EndpointId, Place>,
    queue: VecDeque<GenerationRequest>,
    turn: usize,
    mean: f64,
}

impl Baseline {
    pub fn new(rule: Rule) -> Self {
        Self { rule, places: BTreeMap::new(), queue: VecDeque::new(), turn: 0, mean: 0.0 }
    }

    fn place(&mut self, request: &GenerationRequest) -> Option<EndpointId> {
        let need = request.prompt + request.max_tokens;
        let mean = self.mean;
        let fits = |p: &Place| match self.rule {
            Rule::RoundRobin | Rule::LeastOutstanding => true,
            Rule::FixedBatch => p.count() < BATCH,
            Rule::ReserveMax => {
                let peers = f64::from(p.peers) * mean;
                p.reserved() as f64 + peers + need as f64 <= p.memory as f64
            }
        };
        let open: Vec<_> = self
            .places
            .iter()
            .filter(|(id, p)| p.usable && !p.cold && !request.avoid.contains(*id) && fits(p))
            .collect();
        let turn = self.turn;
        let count = open.len();
        let (id, _) = match self.rule {
            Rule::RoundRobin => open.get(turn.checked_rem(count)?).copied()?,
            Rule::LeastOutstanding | Rule::FixedBatch => {
                let order = (0..count).map(|i| open[(i + turn) % count]);
                order.min_by_key(|(_, p)| p.count())?
            }
            Rule::ReserveMax => {
                let order = (0..count).map(|i| open[(i + turn) % count]);
                let load = |p: &Place| p.reserved() as f64 + f64::from(p.peers) * mean;
                order.min_by(|a, b| load(a.1).total_cmp(&load(b.1)))?
            }
        };
        let id = id.clone();
        self.turn += 1;
        self.mean += 0.02 * (need as f64 - self.mean);
        self.places.get_mut(&id)?.own.insert(request.ticket, need);
        Some(id)
    }
}

impl Decider for Baseline {
    fn set_engines(&mut self, engines: &[Engine], _now: Moment) {
        for place in self.places.values_mut() {
            place.usable = false;
        }
        for engine in engines {
            let place = self.places.entry(engine.id.clone()).or_insert_with(|| Place {
                memory: engine.memory,
                peers: 0,
                cold: false,
                usable: true,
                own: BTreeMap::new(),
            });
            place.usable = true;
        }
    }

    fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, _now: Moment) {
        if let Some(place) = self.places.get_mut(endpoint) {
            place.cold = report.cold;
        }
    }

    fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, _now: Moment) {
        for (id, place) in &mut self.places {
            place.peers = in_flight.get(id).copied().unwrap_or(0);
        }
    }

    fn admit(&mut self, request: &GenerationRequest, _now: Moment) -> Verdict {
        if self.queue.is_empty()
            && let Some(endpoint) = self.place(request)
        {
            return Verdict::Go { endpoint, priority: 0 };
        }
        self.queue.push_back(request.clone());
        Verdict::Wait
    }

    fn release(&mut self, _now: Moment) -> Vec<(Ticket, Verdict)> {
        let mut ended = Vec::new();
        while let Some(request) = self.queue.front().cloned() {
            let Some(endpoint) = self.place(&request) else { break };
            self.queue.pop_front();
            ended.push((request.ticket, Verdict::Go { endpoint, priority: 0 }));
        }
        ended
    }

    fn token(&mut self, _ticket: Ticket, _now: Moment) {}

    fn end(&mut self, ticket: Ticket, _end: End, _now: Moment) {
        self.queue.retain(|a| a.ticket != ticket);
        for place in self.places.values_mut() {
            place.own.remove(&ticket);
        }
    }

    fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        let counts = self.places.iter().filter(|(_, p)| !p.own.is_empty());
        counts.map(|(id, p)| (id.clone(), u32::try_from(p.own.len()).unwrap_or(u32::MAX))).collect()
    }
}
