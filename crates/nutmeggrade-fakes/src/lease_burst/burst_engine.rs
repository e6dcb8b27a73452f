//! An engine in virtual time that admits requests by priority and grants leases.

use std::collections::BTreeMap;

/// Number of requests that run concurrently.
pub const SLOTS: u32 = 24;
/// Capacity of the key/value cache, in tokens.
pub const MEMORY: u64 = 26_924;
/// Prompt tokens that are processed in a millisecond.
pub const PROMPT_RATE: u64 = 14;
/// Microseconds of a step without running requests, and more for each of these.
const STEP_US: (u64, u64) = (7_000, 120);

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest {
    /// Index of the request.
    pub index: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Length of the output in tokens.
    pub output: u64,
    /// Memory that a lease covers.
    pub leased: u64,
}

#[derive(Debug)]
struct Running {
    request: EngineRequest,
    unread: u64,
    done: u64,
}

impl Running {
    fn memory(&self) -> u64 {
        (self.request.prompt + self.done).max(self.request.leased)
    }
}

/// What happened at an engine in a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A request began.
    Begun(usize),
    /// A request produced its first event.
    First(usize),
    /// A request ended.
    Ended(usize),
    /// A request was preempted, and waits to be begun again.
    Preempted(usize),
}

/// An engine in virtual time.
#[derive(Debug, Default)]
pub struct BurstEngine {
    running: Vec<Running>,
    queue: Vec<EngineRequest>,
    /// Memory and expiry of unused leases, by the index of the request.
    leases: BTreeMap<usize, (u64, u64)>,
    next_step_us: u64,
}

impl BurstEngine {
    /// Returns the number of requests that wait in the engine.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Grants a lease if a slot and the memory are free; returns whether it did.
    pub fn take_lease(&mut self, index: usize, tokens: u64, now: u64) -> bool {
        let has_slot = self.taken_slots() < SLOTS as usize;
        let is_granted = has_slot && self.free() >= tokens;
        if is_granted {
            self.leases.insert(index, (tokens, now + 1_000));
        }
        is_granted
    }

    /// Receives a request.
    pub fn receive(&mut self, mut request: EngineRequest) {
        if let Some((tokens, _)) = self.leases.remove(&request.index) {
            request.leased = tokens;
            self.running.push(Running { request, unread: request.prompt, done: 0 });
        } else {
            self.queue.push(request);
        }
    }

    /// Advances to a millisecond; returns what happened.
    pub fn advance(&mut self, now: u64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.leases.retain(|_, (_, until)| now < *until);
        self.admit(&mut events);
        let mut left = PROMPT_RATE;
        for running in &mut self.running {
            let read = running.unread.min(left);
            running.unread -= read;
            left -= read;
        }
        if now * 1_000 >= self.next_step_us {
            self.next_step_us = now * 1_000 + STEP_US.0 + STEP_US.1 * self.running.len() as u64;
            self.step(&mut events);
        }
        events
    }

    fn taken_slots(&self) -> usize {
        self.running.len() + self.leases.len()
    }

    fn free(&self) -> u64 {
        let used: u64 = self.running.iter().map(Running::memory).sum();
        let leased: u64 = self.leases.values().map(|(tokens, _)| tokens).sum();
        MEMORY.saturating_sub(used + leased)
    }

    fn admit(&mut self, events: &mut Vec<EngineEvent>) {
        self.queue.sort_by_key(|r| r.priority);
        while let Some(next) = self.queue.first().copied() {
            if self.taken_slots() >= SLOTS as usize || self.free() < next.prompt {
                break;
            }
            self.queue.remove(0);
            self.running.push(Running { request: next, unread: next.prompt, done: 0 });
            events.push(EngineEvent::Begun(next.index));
        }
    }

    fn step(&mut self, events: &mut Vec<EngineEvent>) {
        for running in self.running.iter_mut().filter(|r| r.unread == 0) {
            running.done += 1;
            if running.done == 4 {
                events.push(EngineEvent::First(running.request.index));
            }
            if running.done >= running.request.output {
                events.push(EngineEvent::Ended(running.request.index));
            }
        }
        self.running.retain(|r| r.done < r.request.output);
        while self.running.iter().map(Running::memory).sum::<u64>() > MEMORY {
            // The newest of the least urgent requests that no lease covers.
            let open =
                self.running.iter().enumerate().filter(|(_, r)| r.request.leased < r.memory());
            let Some((at, _)) = open.max_by_key(|(at, r)| (r.request.priority, *at)) else { break };
            let preempted = self.running.remove(at).request;
            events.push(EngineEvent::Preempted(preempted.index));
            self.queue.push(EngineRequest { leased: 0, ..preempted });
        }
    }
}
