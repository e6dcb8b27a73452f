//! Generations that engines run, and copies of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::{Duration, sleep};

/// A generation that runs at an engine.
#[derive(Debug, Clone)]
pub struct Running {
    /// Events made.
    pub made: u64,
    /// Tells the stream to end without its end.
    pub stop: watch::Sender<bool>,
}

/// What engines of one test know of each other's generations.
#[derive(Debug, Clone, Default)]
pub struct Generations {
    running: Arc<Mutex<BTreeMap<(SocketAddr, String), Running>>>,
    copies: Arc<Mutex<BTreeMap<(SocketAddr, String), u64>>>,
    copying: Arc<Mutex<Copying>>,
}

/// First copies that are under way at a time.
#[derive(Debug, Clone, Copy, Default)]
struct Copying {
    now: usize,
    most: usize,
}

impl Generations {
    /// Notes that an engine begins to run a generation.
    pub fn begin(&self, engine: SocketAddr, id: &str) -> watch::Receiver<bool> {
        let (stop, stopped) = watch::channel(false);
        let running = Running { made: 0, stop };
        guard(&self.running).insert((engine, id.to_owned()), running);
        stopped
    }

    /// Notes an event.
    pub fn made(&self, engine: SocketAddr, id: &str, events: u64) {
        if let Some(running) = guard(&self.running).get_mut(&(engine, id.to_owned())) {
            running.made = events;
        }
    }

    /// Returns the most events that a running generation has made.
    pub fn most_made(&self) -> u64 {
        guard(&self.running).values().map(|r| r.made).max().unwrap_or(0)
    }

    /// Notes that an engine runs a generation no more.
    pub fn end(&self, engine: SocketAddr, id: &str) {
        guard(&self.running).remove(&(engine, id.to_owned()));
    }

    /// Copies a generation; stops it first if this is the last copy. Returns the events made.
    pub fn copy(&self, engine: SocketAddr, id: &str, last: bool) -> Option<u64> {
        let running = guard(&self.running).get(&(engine, id.to_owned())).cloned()?;
        if last {
            running.stop.send_replace(true);
        }
        guard(&self.copies).insert((engine, id.to_owned()), running.made);
        Some(running.made)
    }

    /// Takes the time of a first copy.
    pub async fn take_time(&self, time: Duration) {
        self.begin_copy();
        sleep(time).await;
        guard(&self.copying).now -= 1;
    }

    fn begin_copy(&self) {
        let mut copying = guard(&self.copying);
        copying.now += 1;
        copying.most = copying.most.max(copying.now);
    }

    /// Returns how many first copies were under way at the same time.
    pub fn most_copying(&self) -> usize {
        guard(&self.copying).most
    }

    /// Takes up a copy; each can be taken up once.
    pub fn take_up(&self, source: SocketAddr, handle: &str) -> Option<u64> {
        guard(&self.copies).remove(&(source, handle.to_owned()))
    }
}

fn guard<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
