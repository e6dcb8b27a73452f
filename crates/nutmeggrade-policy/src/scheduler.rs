//! Admission and routing of generations.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

use crate::{Ask, End, Spread, Ticket, Verdict};

/// Wait that a refused caller is told before it is spread.
const COME_BACK: Duration = Duration::from_secs(2);
/// Generations that one instance runs on a warm engine until a better limit is known.
const WARM_LIMIT: u32 = 16;

/// An engine as the scheduler is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub id: EndpointId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Models it can run.
    pub models: std::collections::BTreeSet<ModelId>,
    /// Its key/value memory, in tokens.
    pub memory: u64,
    /// Generations that this instance may have on it while it is cold.
    pub cold_right: u32,
    /// Instances that share it, this one included.
    pub sharers: u32,
}

#[derive(Debug, Clone)]
struct Known {
    engine: Engine,
    report: Option<LoadReport>,
    running: BTreeMap<Ticket, u64>,
    peers: u32,
}

impl Known {
    fn limit(&self) -> u32 {
        if self.report.as_ref().is_none_or(|r| r.cold) {
            return self.engine.cold_right;
        }
        WARM_LIMIT
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn has_room(&self) -> bool {
        self.running() < self.limit()
    }
}

/// Decides about generations: let in, wait or refuse, and on which engine.
#[derive(Debug)]
pub struct Scheduler {
    engines: BTreeMap<EndpointId, Known>,
    placed: BTreeMap<Ticket, EndpointId>,
    queue: VecDeque<Ask>,
    queue_limit: usize,
    spread: Spread,
}

impl Scheduler {
    /// Makes a scheduler without engines; all its randomness comes from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            placed: BTreeMap::new(),
            queue: VecDeque::new(),
            queue_limit: 0,
            spread: Spread::new(seed),
        }
    }

    /// Takes over the limits and weights of the preset in force.
    pub fn set_preset(&mut self, preset: &Preset) {
        self.queue_limit = preset.limits.queue as usize;
    }

    /// Replaces the engines that may get new work; what runs elsewhere runs on.
    pub fn set_engines(&mut self, engines: &[Engine], _now: Moment) {
        let mut known = BTreeMap::new();
        for engine in engines {
            let old = self.engines.remove(&engine.id);
            let old = old.unwrap_or_else(|| Known {
                engine: engine.clone(),
                report: None,
                running: BTreeMap::new(),
                peers: 0,
            });
            known.insert(engine.id.clone(), Known { engine: engine.clone(), ..old });
        }
        self.engines = known;
    }

    /// Takes an engine's lagging report.
    pub fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, _now: Moment) {
        if let Some(known) = self.engines.get_mut(endpoint) {
            known.report = Some(report.clone());
        }
    }

    /// Takes what peers have in flight at each engine.
    pub fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, _now: Moment) {
        for (id, known) in &mut self.engines {
            known.peers = in_flight.get(id).copied().unwrap_or(0);
        }
    }

    /// Decides about a new request, or one that failed elsewhere before its first token.
    pub fn ask(&mut self, ask: &Ask, now: Moment) -> Verdict {
        if ask.deadline <= now {
            return self.refuse(Code::TooLate);
        }
        if let Some(verdict) = self.place(ask) {
            return verdict;
        }
        if !self.offered(ask) {
            return self.refuse(Code::NoEndpoint);
        }
        if self.queue.len() >= self.queue_limit {
            return self.refuse(Code::QueueFull);
        }
        self.queue.push_back(ask.clone());
        Verdict::Wait
    }

    /// Decides about those that wait; returns each whose wait ended.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)> {
        let mut ended = Vec::new();
        let mut still = VecDeque::new();
        while let Some(ask) = self.queue.pop_front() {
            if ask.deadline <= now {
                let verdict = self.refuse(Code::TooLate);
                ended.push((ask.ticket, verdict));
            } else if let Some(verdict) = self.place(&ask) {
                ended.push((ask.ticket, verdict));
            } else if !self.offered(&ask) {
                let verdict = self.refuse(Code::NoEndpoint);
                ended.push((ask.ticket, verdict));
            } else {
                still.push_back(ask);
            }
        }
        self.queue = still;
        ended
    }

    /// Notes a token of a running generation.
    pub fn token(&mut self, ticket: Ticket, _now: Moment) {
        let place = self.placed.get(&ticket);
        let known = place.and_then(|id| self.engines.get_mut(id));
        if let Some(count) = known.and_then(|k| k.running.get_mut(&ticket)) {
            *count += 1;
        }
    }

    /// Notes the end of a request, running or waiting.
    pub fn end(&mut self, ticket: Ticket, _end: End, _now: Moment) {
        self.queue.retain(|a| a.ticket != ticket);
        if let Some(id) = self.placed.remove(&ticket)
            && let Some(known) = self.engines.get_mut(&id)
        {
            known.running.remove(&ticket);
        }
    }

    /// Returns what this instance has in flight at each engine.
    pub fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        let mut counts = BTreeMap::new();
        for id in self.placed.values() {
            *counts.entry(id.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn offered(&self, ask: &Ask) -> bool {
        self.engines.values().any(|k| k.engine.models.contains(&ask.model))
    }

    fn place(&mut self, ask: &Ask) -> Option<Verdict> {
        let fits = |k: &&Known| {
            k.engine.models.contains(&ask.model)
                && !ask.avoid.contains(&k.engine.id)
                && k.has_room()
        };
        let best = self.engines.values().filter(fits).min_by_key(|k| k.running() + k.peers)?;
        let endpoint = best.engine.id.clone();
        if let Some(known) = self.engines.get_mut(&endpoint) {
            known.running.insert(ask.ticket, 0);
        }
        self.placed.insert(ask.ticket, endpoint.clone());
        Some(Verdict::Go { endpoint, priority: 0 })
    }

    fn refuse(&mut self, code: Code) -> Verdict {
        Verdict::Refuse { code, retry_after: self.spread.draw(COME_BACK) }
    }
}
