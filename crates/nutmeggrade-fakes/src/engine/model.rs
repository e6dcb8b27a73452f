//! Continuous batching in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::moment::Moment;

use super::{CacheChange, Event, Job, Spec};

/// Changes of the cache that are kept until somebody takes them.
const CHANGES: usize = 256;

#[derive(Debug, Clone)]
struct Slot {
    job: Job,
    arrived: u64,
    unread: u64,
    done: u64,
}

impl Slot {
    fn memory(&self) -> u64 {
        self.job.prompt + self.done
    }
}

/// A batching engine as a pure state machine: `step` takes the time and returns what came out.
#[derive(Debug, Clone)]
pub struct Model {
    spec: Spec,
    running: BTreeMap<GenerationId, Slot>,
    waiting: VecDeque<Slot>,
    prefixes: VecDeque<u64>,
    changes: VecDeque<CacheChange>,
    cold_until: Moment,
    arrivals: u64,
    preemptions: u64,
    crashes: u64,
    cold_peak: u32,
    slow: u32,
}

impl Model {
    /// Makes a warm, empty engine.
    pub fn new(spec: &Spec) -> Self {
        Self {
            spec: spec.clone(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
            changes: VecDeque::new(),
            cold_until: Moment::ZERO,
            arrivals: 0,
            preemptions: 0,
            crashes: 0,
            cold_peak: 0,
            slow: 1,
        }
    }

    /// Makes every step `factor` times as long.
    pub fn set_slow(&mut self, factor: u32) {
        self.slow = factor.max(1);
    }

    /// Turns the engine cold, as after a restart, without losing its work.
    pub fn set_cold(&mut self, now: Moment) {
        self.cold_until = now.after(self.spec.cold_time);
        for dropped in std::mem::take(&mut self.prefixes) {
            self.note_cache(dropped, false);
        }
    }

    /// Ends the cold start.
    pub fn set_warm(&mut self) {
        self.cold_until = Moment::ZERO;
    }

    /// Says whether the engine is in cold start.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Says whether the engine has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the most generations it ever held while cold.
    pub const fn cold_peak(&self) -> u32 {
        self.cold_peak
    }

    /// Returns how often it crashed.
    pub const fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Takes a generation in. A cold engine that gets more than it bears falls over.
    pub fn submit(&mut self, job: Job, now: Moment) -> Vec<Event> {
        let cached = job.prefix != 0 && self.prefixes.contains(&job.prefix);
        let known = if cached { job.prefix_len.min(job.prompt) } else { 0 };
        let unread = job.prompt - known;
        self.arrivals += 1;
        self.waiting.push_back(Slot { arrived: self.arrivals, unread, done: 0, job });
        if !self.is_cold(now) {
            return Vec::new();
        }
        let held = self.held();
        self.cold_peak = self.cold_peak.max(held);
        if held > self.spec.cold_limit { self.crash(now) } else { Vec::new() }
    }

    /// Drops a generation; unknown ids are ignored.
    pub fn cancel(&mut self, generation: GenerationId) {
        self.running.remove(&generation);
        self.waiting.retain(|s| s.job.generation != generation);
    }

    /// Loses all work and starts cold.
    pub fn crash(&mut self, now: Moment) -> Vec<Event> {
        self.running.clear();
        self.waiting.clear();
        self.crashes += 1;
        self.set_cold(now);
        vec![Event::Crashed]
    }

    /// Runs one step of the batch; returns how long it took and what came out at its end.
    pub fn step(&mut self, now: Moment) -> (Duration, Vec<Event>) {
        self.fill();
        let read = self.prefill();
        let mut events = Vec::new();
        if self.poisoned() {
            return (self.spec.step, self.crash(now));
        }
        self.make_room(&mut events);
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.decode(&mut events);
        let reading = self.spec.prefill_each * u32::try_from(read).unwrap_or(u32::MAX);
        let base = self.spec.step + self.spec.step_each * batch + reading;
        let cold = if self.is_cold(now) { self.spec.cold_factor } else { 1 };
        (base * cold * self.slow, events)
    }

    /// Takes the changes of the prefix cache since the last time.
    pub fn cache_changes(&mut self) -> VecDeque<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Reports the load as it is now; the caller adds the lag.
    pub fn load(&self, now: Moment) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            memory_used: self.used(),
            memory_total: self.spec.memory,
            preemptions: self.preemptions,
            cold: self.is_cold(now),
            cold_limit: self.spec.cold_limit,
            age: Duration::ZERO,
        }
    }

    fn held(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn used(&self) -> u64 {
        self.running.values().map(Slot::memory).sum()
    }

    fn fill(&mut self) {
        while self.running.len() < self.spec.batch as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let alone = self.running.is_empty();
            if !alone && self.used() + next.memory() + 1 > self.spec.memory {
                return;
            }
            if let Some(slot) = self.waiting.pop_front() {
                self.running.insert(slot.job.generation, slot);
            }
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut left = self.spec.prefill_chunk;
        let mut order: Vec<_> =
            self.running.values().map(|s| (s.arrived, s.job.generation)).collect();
        order.sort_unstable();
        for (_, id) in order {
            let Some(slot) = self.running.get_mut(&id) else {
                continue;
            };
            let part = slot.unread.min(left);
            let finished = slot.unread > 0 && part == slot.unread;
            slot.unread -= part;
            left -= part;
            let prefix = slot.job.prefix;
            if finished && prefix != 0 {
                self.remember(prefix);
            }
        }
        self.spec.prefill_chunk - left
    }

    fn remember(&mut self, prefix: u64) {
        let count = self.prefixes.len();
        self.prefixes.retain(|p| *p != prefix);
        let is_new = self.prefixes.len() == count;
        self.prefixes.push_back(prefix);
        if is_new {
            self.note_cache(prefix, true);
        }
        while self.prefixes.len() > self.spec.prefixes {
            if let Some(dropped) = self.prefixes.pop_front() {
                self.note_cache(dropped, false);
            }
        }
    }

    fn note_cache(&mut self, prefix: u64, kept: bool) {
        if self.changes.len() == CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(CacheChange { prefix, kept });
    }

    fn poisoned(&self) -> bool {
        self.running.values().any(|s| s.job.poison && s.unread == 0)
    }

    fn make_room(&mut self, events: &mut Vec<Event>) {
        loop {
            let growing = self.running.values().filter(|s| s.unread == 0).count() as u64;
            if self.running.len() < 2 || self.used() + growing <= self.spec.memory {
                return;
            }
            let victim = self
                .running
                .values()
                .min_by_key(|s| (s.job.priority, u64::MAX - s.arrived))
                .map(|s| s.job.generation);
            let Some(mut slot) = victim.and_then(|id| self.running.remove(&id)) else {
                return;
            };
            self.preemptions += 1;
            events.push(Event::Preempted { generation: slot.job.generation });
            slot.unread = slot.memory();
            self.waiting.push_front(slot);
        }
    }

    fn decode(&mut self, events: &mut Vec<Event>) {
        let mut ended = Vec::new();
        for (id, slot) in &mut self.running {
            if slot.unread > 0 {
                continue;
            }
            let last = slot.done + 1 >= slot.job.output;
            events.push(Event::Token { generation: *id, offset: slot.done, last });
            slot.done += 1;
            if last {
                ended.push(*id);
            }
        }
        for id in ended {
            self.running.remove(&id);
        }
    }
}
