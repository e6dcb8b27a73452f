//! State shared by the request handlers of an engine process.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmeggrade_core::engine::{FinishReason, GenerateRequest, LoadReport, Token};
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::moment::Moment;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::{CacheLog, Event, Faults, Job, Model, Orders, Refusal, Spec};

/// Time during which a crashed engine refuses work.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time between two checks of the queue by an idle engine.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
pub(super) struct Output {
    pub tokens: Vec<Token>,
    pub lost: bool,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub model: Model,
    pub outputs: BTreeMap<GenerationId, Output>,
    pub runs: BTreeMap<GenerationId, String>,
    pub reports: VecDeque<(Instant, LoadReport)>,
    pub faults: Faults,
    pub orders: Orders,
    pub cut_count: u64,
    pub down_until: Option<Instant>,
    pub cache: CacheLog,
}

/// Shared state of an engine process.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    pub(super) changed: Notify,
    started_at: Instant,
    lag: Duration,
}

impl Engine {
    /// Creates a warm engine whose load reports and cache events lag by `lag`.
    pub fn new(spec: &Spec, lag: Duration) -> Self {
        let inner = Inner {
            model: Model::new(spec),
            outputs: BTreeMap::new(),
            runs: BTreeMap::new(),
            reports: VecDeque::new(),
            faults: Faults::default(),
            orders: Orders::default(),
            cut_count: 0,
            down_until: None,
            cache: CacheLog::new(lag),
        };
        Self { inner: Mutex::new(inner), changed: Notify::new(), started_at: Instant::now(), lag }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Moment {
        Moment::new(self.started_at.elapsed())
    }

    /// Submits a generation, unless the engine refuses it.
    pub fn submit(&self, request: &GenerateRequest) -> Result<(), Refusal> {
        let mut inner = self.lock();
        if inner.refuses() {
            return Err(Refusal::Down);
        }
        let id = request.generation;
        if inner.runs.contains_key(&id) {
            return Err(Refusal::Duplicate);
        }
        inner.runs.insert(id, request.prompt.chars().take(64).collect());
        inner.outputs.insert(id, Output::default());
        let events = inner.model.submit(Job::from_request(request), self.now());
        for event in events {
            inner.apply(event);
        }
        Ok(())
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.lock().model.crashes()
    }

    /// Begins a step of the batch; returns its duration and the events at its end.
    pub fn begin_step(&self) -> (Duration, Vec<Event>) {
        let now = self.now();
        let mut inner = self.lock();
        let load = inner.model.load(now);
        inner.reports.push_back((Instant::now(), load));
        while inner.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            inner.reports.pop_front();
        }
        if inner.model.is_idle() {
            return (IDLE_POLL_INTERVAL, Vec::new());
        }
        let (wait, mut events) = inner.model.step(now);
        // A crash takes effect when the step begins: if the engine accepted requests until the step's
        // end, it would lose these too and appear to crash twice.
        if events.contains(&Event::Crashed) {
            for event in events.drain(..) {
                inner.apply(event);
            }
        }
        (wait, events)
    }

    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let (wait, events) = self.begin_step();
            sleep(wait).await;
            let mut inner = self.lock();
            let now = self.now();
            for change in inner.model.cache_changes() {
                inner.cache.record(change, now);
            }
            for event in events {
                inner.apply(event);
            }
            drop(inner);
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Token { generation, offset, last } => {
                let text = format!("w{offset} ");
                let finish = last.then_some(FinishReason::Stop);
                let token = Token { generation, offset, text, finish };
                if let Some(output) = self.outputs.get_mut(&generation) {
                    output.tokens.push(token);
                }
            }
            Event::Preempted { .. } => {}
            Event::Crashed => {
                for output in self.outputs.values_mut() {
                    output.lost = true;
                }
                self.down_until = Some(Instant::now() + RESTART_TIME);
            }
        }
    }

    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|at| Instant::now() < at)
    }

    pub fn refuses(&self) -> bool {
        self.is_down() || self.faults.refuse == Some(true)
    }
}
