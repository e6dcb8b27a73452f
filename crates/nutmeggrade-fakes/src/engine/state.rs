//! What the handlers of an engine process share.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmeggrade_core::engine::{FinishReason, GenerateRequest, LoadReport, Token};
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::moment::Moment;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::{CacheLog, Event, Faults, Job, Model, Orders, Refusal, Spec};

/// How long a crashed engine refuses work.
const RESTART: Duration = Duration::from_millis(500);
/// How long an idle engine sleeps between looks at its queue.
const IDLE: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
pub(super) struct Answer {
    pub tokens: Vec<Token>,
    pub lost: bool,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub model: Model,
    pub answers: BTreeMap<GenerationId, Answer>,
    pub runs: BTreeMap<GenerationId, String>,
    pub reports: VecDeque<(Instant, LoadReport)>,
    pub faults: Faults,
    pub orders: Orders,
    pub cuts: u64,
    pub down_until: Option<Instant>,
    pub cache: CacheLog,
}

/// An engine process's shared state.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    pub(super) changed: Notify,
    start: Instant,
    lag: Duration,
}

impl Engine {
    /// Makes a warm engine whose load reports lag by `lag`.
    pub fn new(spec: &Spec, lag: Duration) -> Self {
        let inner = Inner {
            model: Model::new(spec),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            reports: VecDeque::new(),
            faults: Faults::default(),
            orders: Orders::default(),
            cuts: 0,
            down_until: None,
            cache: CacheLog::new(lag),
        };
        Self { inner: Mutex::new(inner), changed: Notify::new(), start: Instant::now(), lag }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Moment {
        Moment::new(self.start.elapsed())
    }

    /// Takes a generation in, unless the engine refuses it.
    pub fn submit(&self, order: &GenerateRequest) -> Result<(), Refusal> {
        let mut inner = self.lock();
        if inner.refuses() {
            return Err(Refusal::Down);
        }
        let id = order.generation;
        if inner.runs.contains_key(&id) {
            return Err(Refusal::Known);
        }
        inner.runs.insert(id, order.prompt.chars().take(64).collect());
        inner.answers.insert(id, Answer::default());
        let events = inner.model.submit(Job::read(order), self.now());
        for event in events {
            inner.take(event);
        }
        Ok(())
    }

    /// Returns how often it crashed.
    pub fn crashes(&self) -> u64 {
        self.lock().model.crashes()
    }

    /// Begins a step of the batch; returns how long it takes and what comes out at its end.
    pub fn begin_step(&self) -> (Duration, Vec<Event>) {
        let now = self.now();
        let mut inner = self.lock();
        let load = inner.model.load(now);
        inner.reports.push_back((Instant::now(), load));
        while inner.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            inner.reports.pop_front();
        }
        if inner.model.is_idle() {
            return (IDLE, Vec::new());
        }
        let (wait, mut events) = inner.model.step(now);
        // A crash takes effect when the step begins: an engine that still took requests until its end
        // would lose them as well and seem to crash twice.
        if events.contains(&Event::Crashed) {
            for event in events.drain(..) {
                inner.take(event);
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
                inner.cache.note(change, now);
            }
            for event in events {
                inner.take(event);
            }
            drop(inner);
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    pub fn take(&mut self, event: Event) {
        match event {
            Event::Token { generation, offset, last } => {
                let text = format!("w{offset} ");
                let finish = last.then_some(FinishReason::Stop);
                let token = Token { generation, offset, text, finish };
                if let Some(answer) = self.answers.get_mut(&generation) {
                    answer.tokens.push(token);
                }
            }
            Event::Preempted { .. } => {}
            Event::Crashed => {
                for answer in self.answers.values_mut() {
                    answer.lost = true;
                }
                self.down_until = Some(Instant::now() + RESTART);
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
