//! Model of a continuously batching engine in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::moment::Moment;

use super::{CacheChange, Event, Job, Spec};

/// Cache changes that are buffered until the caller takes them.
const MAX_CACHE_CHANGES: usize = 256;

#[derive(Debug, Clone)]
struct Slot {
    job: Job,
    arrival: u64,
    prefill_remaining: u64,
    generated: u64,
}

impl Slot {
    fn memory(&self) -> u64 {
        self.job.prompt + self.generated
    }
}

/// A batching engine as a state machine without I/O: `step` takes the time and returns the events.
#[derive(Debug, Clone)]
pub struct Model {
    spec: Spec,
    running: BTreeMap<GenerationId, Slot>,
    waiting: VecDeque<Slot>,
    prefixes: VecDeque<u64>,
    changes: VecDeque<CacheChange>,
    cold_until: Moment,
    arrival_count: u64,
    preemptions: u64,
    crashes: u64,
    cold_peak: u32,
    slow_factor: u32,
}

impl Model {
    /// Creates a warm, idle engine.
    pub fn new(spec: &Spec) -> Self {
        Self {
            spec: spec.clone(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
            changes: VecDeque::new(),
            cold_until: Moment::ZERO,
            arrival_count: 0,
            preemptions: 0,
            crashes: 0,
            cold_peak: 0,
            slow_factor: 1,
        }
    }

    /// Multiplies the time of every step by `factor`.
    pub fn set_slow(&mut self, factor: u32) {
        self.slow_factor = factor.max(1);
    }

    /// Starts a cold start, as after a restart, without losing work in progress.
    pub fn set_cold(&mut self, now: Moment) {
        self.cold_until = now.after(self.spec.cold_time);
        for evicted in std::mem::take(&mut self.prefixes) {
            self.record_cache_change(evicted, false);
        }
    }

    /// Ends the cold start.
    pub fn set_warm(&mut self) {
        self.cold_until = Moment::ZERO;
    }

    /// Returns whether the engine is in its cold start.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Returns whether the engine has neither running nor waiting generations.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the highest number of generations held during a cold start.
    pub const fn cold_peak(&self) -> u32 {
        self.cold_peak
    }

    /// Returns the number of crashes.
    pub const fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Queues a generation. A cold engine that exceeds its cold limit crashes.
    pub fn submit(&mut self, job: Job, now: Moment) -> Vec<Event> {
        let cached = job.prefix != 0 && self.prefixes.contains(&job.prefix);
        let cached_tokens = if cached { job.prefix_len.min(job.prompt) } else { 0 };
        let prefill_remaining = job.prompt - cached_tokens;
        self.arrival_count += 1;
        self.waiting.push_back(Slot {
            arrival: self.arrival_count,
            prefill_remaining,
            generated: 0,
            job,
        });
        if !self.is_cold(now) {
            return Vec::new();
        }
        let generation_count = self.generation_count();
        self.cold_peak = self.cold_peak.max(generation_count);
        if generation_count > self.spec.cold_limit { self.crash(now) } else { Vec::new() }
    }

    /// Cancels a generation; unknown ids are ignored.
    pub fn cancel(&mut self, generation: GenerationId) {
        self.running.remove(&generation);
        self.waiting.retain(|s| s.job.generation != generation);
    }

    /// Loses all generations and restarts cold.
    pub fn crash(&mut self, now: Moment) -> Vec<Event> {
        self.running.clear();
        self.waiting.clear();
        self.crashes += 1;
        self.set_cold(now);
        vec![Event::Crashed]
    }

    /// Runs one step of the batch; returns its duration and the events at its end.
    pub fn step(&mut self, now: Moment) -> (Duration, Vec<Event>) {
        self.admit_waiting();
        let prefilled = self.prefill();
        let mut events = Vec::new();
        if self.has_poisoned_job() {
            return (self.spec.step, self.crash(now));
        }
        self.preempt_until_fits(&mut events);
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.decode(&mut events);
        let prefill_time = self.spec.prefill_each * u32::try_from(prefilled).unwrap_or(u32::MAX);
        let base = self.spec.step + self.spec.step_each * batch + prefill_time;
        let cold = if self.is_cold(now) { self.spec.cold_factor } else { 1 };
        (base * cold * self.slow_factor, events)
    }

    /// Takes the changes of the prefix cache since the last call.
    pub fn cache_changes(&mut self) -> VecDeque<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the current load report; the caller adds the lag.
    pub fn load(&self, now: Moment) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            memory_used: self.used_memory(),
            memory_total: self.spec.memory,
            preemptions: self.preemptions,
            cold: self.is_cold(now),
            cold_limit: self.spec.cold_limit,
            age: Duration::ZERO,
        }
    }

    fn generation_count(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn used_memory(&self) -> u64 {
        self.running.values().map(Slot::memory).sum()
    }

    fn admit_waiting(&mut self) {
        while self.running.len() < self.spec.batch as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let batch_is_empty = self.running.is_empty();
            if !batch_is_empty && self.used_memory() + next.memory() + 1 > self.spec.memory {
                return;
            }
            if let Some(slot) = self.waiting.pop_front() {
                self.running.insert(slot.job.generation, slot);
            }
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = self.spec.prefill_chunk;
        let mut order: Vec<_> =
            self.running.values().map(|s| (s.arrival, s.job.generation)).collect();
        order.sort_unstable();
        for (_, id) in order {
            let Some(slot) = self.running.get_mut(&id) else {
                continue;
            };
            let chunk = slot.prefill_remaining.min(budget);
            let completes = slot.prefill_remaining > 0 && chunk == slot.prefill_remaining;
            slot.prefill_remaining -= chunk;
            budget -= chunk;
            let prefix = slot.job.prefix;
            if completes && prefix != 0 {
                self.cache_prefix(prefix);
            }
        }
        self.spec.prefill_chunk - budget
    }

    fn cache_prefix(&mut self, prefix: u64) {
        let count = self.prefixes.len();
        self.prefixes.retain(|p| *p != prefix);
        let is_new = self.prefixes.len() == count;
        self.prefixes.push_back(prefix);
        if is_new {
            self.record_cache_change(prefix, true);
        }
        while self.prefixes.len() > self.spec.prefixes {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.record_cache_change(evicted, false);
            }
        }
    }

    fn record_cache_change(&mut self, prefix: u64, kept: bool) {
        if self.changes.len() == MAX_CACHE_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(CacheChange { prefix, kept });
    }

    fn has_poisoned_job(&self) -> bool {
        self.running.values().any(|s| s.job.poison && s.prefill_remaining == 0)
    }

    fn preempt_until_fits(&mut self, events: &mut Vec<Event>) {
        loop {
            let growing = self.running.values().filter(|s| s.prefill_remaining == 0).count() as u64;
            if self.running.len() < 2 || self.used_memory() + growing <= self.spec.memory {
                return;
            }
            let victim = self
                .running
                .values()
                .min_by_key(|s| (s.job.priority, u64::MAX - s.arrival))
                .map(|s| s.job.generation);
            let Some(mut slot) = victim.and_then(|id| self.running.remove(&id)) else {
                return;
            };
            self.preemptions += 1;
            events.push(Event::Preempted { generation: slot.job.generation });
            slot.prefill_remaining = slot.memory();
            self.waiting.push_front(slot);
        }
    }

    fn decode(&mut self, events: &mut Vec<Event>) {
        let mut finished_ids = Vec::new();
        for (id, slot) in &mut self.running {
            if slot.prefill_remaining > 0 {
                continue;
            }
            let last = slot.generated + 1 >= slot.job.output;
            events.push(Event::Token { generation: *id, offset: slot.generated, last });
            slot.generated += 1;
            if last {
                finished_ids.push(*id);
            }
        }
        for id in finished_ids {
            self.running.remove(&id);
        }
    }
}
