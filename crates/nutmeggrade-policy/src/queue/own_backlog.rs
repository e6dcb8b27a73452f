//! Waiting and recent requests of this instance.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{MAX_PRIORITY, WaitingEntry, WaitingReport};
use nutmeggrade_core::prelude::*;

use super::urgent_reserve::whole;
use super::{ArrivalRate, BacklogLevel, YieldReason};
use crate::Ticket;
use crate::dispatch::DispatchRequest;

/// Time for which a priority without requests is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(10);
/// Weight of a request that ended in the mean time for which requests hold memory.
const HOLD_WEIGHT: f64 = 0.125;

type LevelKey = (ServiceId, u8);

#[derive(Debug)]
struct WaitingRequest {
    key: LevelKey,
    memory: u64,
    prompt: u64,
    queued_at: Moment,
    start_deadline: Moment,
    yields: BTreeMap<YieldReason, Moment>,
    /// Whether it can still end in time.
    is_counted: bool,
}

#[derive(Debug)]
struct PlacedRequest {
    key: LevelKey,
    memory: u64,
    placed_at: Moment,
    yielded: Duration,
}

#[derive(Debug, Default)]
struct OwnLevel {
    waiting: BacklogLevel,
    prompt: u64,
    rate: ArrivalRate,
    hold_time: Option<f64>,
    mean_size: f64,
    /// Whether the last request was short.
    is_short: bool,
    last_used: Moment,
    /// Rate and held memory for the next report.
    sampled: Option<(u64, u64)>,
}

/// Waiting and recent requests of this instance, by service and priority.
#[derive(Debug, Default)]
pub struct OwnBacklog {
    waiting: BTreeMap<Ticket, WaitingRequest>,
    placed: BTreeMap<Ticket, PlacedRequest>,
    levels: BTreeMap<LevelKey, OwnLevel>,
    yields: BTreeMap<YieldReason, u64>,
}

impl OwnBacklog {
    /// Creates an empty backlog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a request that is placed or waits.
    pub fn arrived(&mut self, request: &DispatchRequest, now: Moment) {
        let memory = units(request);
        let level = self.levels.entry(level_key(request)).or_default();
        level.rate.record(memory, now);
        level.mean_size = match level.mean_size {
            0.0 => memory as f64,
            mean => mean + (memory as f64 - mean) * HOLD_WEIGHT,
        };
        level.is_short = request.is_short();
        level.last_used = now;
    }

    /// Records that a request waits, and for which reason it left free capacity to others.
    pub fn queued(&mut self, request: &DispatchRequest, reason: Option<YieldReason>, now: Moment) {
        let (key, memory) = (level_key(request), units(request));
        let level = self.levels.entry(key.clone()).or_default();
        level.waiting.add(&BacklogLevel { count: 1, memory, ..BacklogLevel::default() });
        level.prompt = level.prompt.saturating_add(request.prompt);
        let waiting = WaitingRequest {
            key,
            memory,
            prompt: request.prompt,
            queued_at: now,
            start_deadline: request.start_deadline,
            yields: BTreeMap::new(),
            is_counted: true,
        };
        self.waiting.insert(request.ticket, waiting);
        if let Some(reason) = reason {
            self.yielded(request.ticket, reason, now);
        }
    }

    /// Records that a waiting request leaves free capacity to others.
    pub fn yielded(&mut self, ticket: Ticket, reason: YieldReason, now: Moment) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else { return };
        if let Entry::Vacant(first) = waiting.yields.entry(reason) {
            first.insert(now);
            *self.yields.entry(reason).or_default() += 1;
        }
    }

    /// Returns when a waiting request was queued.
    pub fn queued_at(&self, ticket: Ticket) -> Option<Moment> {
        self.waiting.get(&ticket).map(|waiting| waiting.queued_at)
    }

    /// Records that a waiting request can no longer end in time.
    pub fn set_late(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else { return };
        if std::mem::take(&mut waiting.is_counted)
            && let Some(level) = self.levels.get_mut(&waiting.key)
        {
            level.remove(waiting);
        }
    }

    /// Records that a request no longer waits.
    pub fn left(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        if waiting.is_counted
            && let Some(level) = self.levels.get_mut(&waiting.key)
        {
            level.remove(&waiting);
        }
    }

    /// Records that a request is placed.
    pub fn placed(&mut self, request: &DispatchRequest, now: Moment) {
        let yields = self.waiting.get(&request.ticket).map(|w| &w.yields);
        let first = yields.and_then(|y| y.values().min());
        let yielded = first.map_or(Duration::ZERO, |at| now.since(*at));
        self.left(request.ticket);
        let (key, memory) = (level_key(request), units(request));
        let level = self.levels.entry(key.clone()).or_default();
        level.waiting.held = level.waiting.held.saturating_add(memory);
        level.last_used = now;
        let placed = PlacedRequest { key, memory, placed_at: now, yielded };
        if let Some(old) = self.placed.insert(request.ticket, placed) {
            self.release(&old, None);
        }
    }

    /// Removes placed requests that have ended, and forgets priorities without requests.
    pub fn expire(&mut self, is_placed: impl Fn(Ticket) -> bool, now: Moment) {
        let ended = self.placed.extract_if(.., |ticket, _| !is_placed(*ticket));
        let ended: Vec<PlacedRequest> = ended.map(|(_, placed)| placed).collect();
        for placed in &ended {
            self.release(placed, Some(now));
        }
        self.levels.retain(|_, level| {
            level.waiting.count > 0
                || level.waiting.held > 0
                || now.since(level.last_used) < MEMORY_TIME
        });
    }

    /// Returns for how long a placed request left free capacity to others before.
    pub fn yielded_time(&self, ticket: Ticket) -> Duration {
        self.placed.get(&ticket).map_or(Duration::ZERO, |placed| placed.yielded)
    }

    /// Returns how many requests left free capacity to others for this reason since the last call.
    pub fn take_yields(&mut self, reason: YieldReason) -> u64 {
        self.yields.remove(&reason).unwrap_or(0)
    }

    /// Lists the services with requests in the last seconds.
    pub fn services(&self) -> BTreeSet<&ServiceId> {
        self.levels.keys().map(|(service, _)| service).collect()
    }

    /// Returns the priorities of a service with requests in the last seconds.
    pub fn priorities<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = u8> + 'a {
        let range = (service.clone(), 0)..=(service.clone(), u8::MAX);
        self.levels.range(range).map(|((_, priority), _)| *priority)
    }

    /// Returns the requests of a service and priority.
    pub fn level(&self, service: &ServiceId, priority: u8, now: Moment) -> BacklogLevel {
        let level = self.levels.get(&(service.clone(), priority));
        level.map_or_else(BacklogLevel::default, |level| level.at(now))
    }

    /// Returns the mean time for which requests of a priority hold memory, once one has ended.
    pub fn hold_time(&self, service: &ServiceId, priority: u8) -> Option<Duration> {
        let seconds = self.levels.get(&(service.clone(), priority))?.hold_time?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns the mean memory of recent requests of a priority.
    pub fn mean_size(&self, service: &ServiceId, priority: u8) -> Option<f64> {
        let level = self.levels.get(&(service.clone(), priority))?;
        Some(level.mean_size).filter(|size| *size > 0.0)
    }

    /// Returns whether requests of a priority are short, as far as is known here.
    pub fn is_short(&self, service: &ServiceId, priority: u8) -> bool {
        self.levels.get(&(service.clone(), priority)).is_some_and(|level| level.is_short)
    }

    /// Samples the rates and the held memory for the next report, unless this was done already.
    ///
    /// Reports are sent with placements, when both are above their mean: at one request a second,
    /// the peers' rates would add up to twice the true one.
    pub fn sample(&mut self, now: Moment) {
        for level in self.levels.values_mut() {
            let current = level.at(now);
            level.sampled.get_or_insert((current.rate, current.held));
        }
    }

    /// Drops the sample after a report was sent.
    pub fn drop_sample(&mut self) {
        for level in self.levels.values_mut() {
            level.sampled = None;
        }
    }

    /// Returns the report for the peers.
    pub fn report(&self, now: Moment) -> WaitingReport {
        let mut times: BTreeMap<&LevelKey, (Moment, Moment)> = BTreeMap::new();
        for w in self.waiting.values().filter(|w| w.is_counted) {
            let (oldest, deadline) = times.entry(&w.key).or_insert((w.queued_at, w.start_deadline));
            *oldest = w.queued_at.min(*oldest);
            *deadline = w.start_deadline.min(*deadline);
        }
        let entry = |(key, level): (&LevelKey, &OwnLevel)| {
            let all = level.at(now);
            let (rate, held) = level.sampled.unwrap_or((all.rate, all.held));
            let (oldest, deadline) = times.get(key).copied().unwrap_or((now, now));
            WaitingEntry {
                service: key.0.clone(),
                priority: key.1,
                count: u32::try_from(all.count).unwrap_or(u32::MAX),
                memory: all.memory,
                prompt: level.prompt,
                oldest: now.since(oldest),
                deadline: deadline.since(now),
                rate,
                held,
            }
        };
        WaitingReport::new(self.levels.iter().map(entry).collect())
    }

    /// Returns the number of waiting requests by priority.
    pub fn waiting_by_priority(&self) -> [u64; MAX_PRIORITY as usize + 1] {
        let mut counts = [0; MAX_PRIORITY as usize + 1];
        for ((_, priority), level) in &self.levels {
            if let Some(count) = counts.get_mut(usize::from(*priority)) {
                *count += level.waiting.count;
            }
        }
        counts
    }

    fn release(&mut self, placed: &PlacedRequest, ended_at: Option<Moment>) {
        let Some(level) = self.levels.get_mut(&placed.key) else { return };
        level.waiting.held = level.waiting.held.saturating_sub(placed.memory);
        if let Some(ended_at) = ended_at {
            let time = ended_at.since(placed.placed_at).as_secs_f64();
            let mean = level.hold_time.unwrap_or(time);
            level.hold_time = Some(mean + (time - mean) * HOLD_WEIGHT);
        }
    }
}

impl OwnLevel {
    fn at(&self, now: Moment) -> BacklogLevel {
        BacklogLevel { rate: whole(self.rate.at(now)), ..self.waiting }
    }

    const fn remove(&mut self, waiting: &WaitingRequest) {
        self.waiting.count = self.waiting.count.saturating_sub(1);
        self.waiting.memory = self.waiting.memory.saturating_sub(waiting.memory);
        self.prompt = self.prompt.saturating_sub(waiting.prompt);
    }
}

/// Returns the capacity that a request takes: its memory, or one unit without a prompt.
pub fn units(request: &DispatchRequest) -> u64 {
    request.memory.max(1)
}

fn level_key(request: &DispatchRequest) -> LevelKey {
    (request.service.clone(), request.priority.min(MAX_PRIORITY))
}
