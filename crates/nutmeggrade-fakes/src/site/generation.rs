//! Generations that run at simulated engines, and copies of their caches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::{Duration, sleep};

/// A generation that is running at an engine.
#[derive(Debug, Clone)]
pub struct RunningGeneration {
    /// Number of events generated.
    pub events: u64,
    /// Number of events in the complete stream.
    pub length: u64,
    /// Signals the stream to stop without sending its end.
    pub stop: watch::Sender<bool>,
}

/// The running generations and copies of one test, shared by its engines.
#[derive(Debug, Clone, Default)]
pub struct Generations {
    running: Arc<Mutex<BTreeMap<(SocketAddr, String), RunningGeneration>>>,
    /// Length of the generation that was copied.
    copies: Arc<Mutex<BTreeMap<(SocketAddr, String), u64>>>,
    first_copies: Arc<Mutex<CopyCounts>>,
}

/// Number of first copies in progress.
#[derive(Debug, Clone, Copy, Default)]
struct CopyCounts {
    current: usize,
    max: usize,
}

impl Generations {
    /// Adds a running generation of `length` events; the receiver signals when it must stop.
    pub fn start(&self, engine: SocketAddr, id: &str, length: u64) -> watch::Receiver<bool> {
        let (stop, stopped) = watch::channel(false);
        let running = RunningGeneration { events: 0, length, stop };
        lock(&self.running).insert((engine, id.to_owned()), running);
        stopped
    }

    /// Sets the number of events that a generation has produced.
    pub fn set_events(&self, engine: SocketAddr, id: &str, events: u64) {
        if let Some(running) = lock(&self.running).get_mut(&(engine, id.to_owned())) {
            running.events = events;
        }
    }

    /// Returns the largest number of events produced by any running generation.
    pub fn max_generated_events(&self) -> u64 {
        lock(&self.running).values().map(|r| r.events).max().unwrap_or(0)
    }

    /// Removes a generation that has ended.
    pub fn remove(&self, engine: SocketAddr, id: &str) {
        lock(&self.running).remove(&(engine, id.to_owned()));
    }

    /// Copies a generation and stops it if the copy is final; returns the number of events copied.
    pub fn create_copy(&self, engine: SocketAddr, id: &str, is_final: bool) -> Option<u64> {
        let running = lock(&self.running).get(&(engine, id.to_owned())).cloned()?;
        if is_final {
            running.stop.send_replace(true);
        }
        lock(&self.copies).insert((engine, id.to_owned()), running.length);
        Some(running.events)
    }

    /// Waits for the duration of a first copy and counts it as in progress meanwhile.
    pub async fn simulate_first_copy(&self, time: Duration) {
        self.count_first_copy();
        sleep(time).await;
        lock(&self.first_copies).current -= 1;
    }

    fn count_first_copy(&self) {
        let mut counts = lock(&self.first_copies);
        counts.current += 1;
        counts.max = counts.max.max(counts.current);
    }

    /// Returns the largest number of first copies that were in progress at the same time.
    pub fn max_concurrent_copies(&self) -> usize {
        lock(&self.first_copies).max
    }

    /// Removes a copy and returns the length of its generation; each copy can be claimed once.
    pub fn claim_copy(&self, source: SocketAddr, handle: &str) -> Option<u64> {
        lock(&self.copies).remove(&(source, handle.to_owned()))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
