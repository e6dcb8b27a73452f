//! The engine's HTTP side.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::Stream;
use futures::stream;
use http::StatusCode;
use nutmeggrade_core::engine::{
    Finish, GENERATIONS_PATH, Generate, LOAD_PATH, LoadReport, Standing, Token,
};
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::moment::Moment;
use nutmeggrade_core::order::{FencedOrder, ORDERS_PATH};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use viz::types::{Event as SseEvent, Sse, State};
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, ResponseExt, Result, Router,
};

use super::{Event, Faults, Job, Model, Orders, Spec};
use crate::http::{serve as serve_http, status};

/// Largest request body, in bytes.
const MAX_BODY: u64 = 8 << 20;
/// How long a crashed engine refuses work.
const RESTART: Duration = Duration::from_millis(500);
/// One token in this many is followed by one of another generation if streams are crossed.
const CROSS: u64 = 16;
/// How long an idle engine sleeps between looks at its queue.
const IDLE: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
struct Answer {
    tokens: Vec<Token>,
    lost: bool,
}

#[derive(Debug)]
struct Inner {
    model: Model,
    answers: BTreeMap<GenerationId, Answer>,
    runs: BTreeMap<GenerationId, String>,
    reports: VecDeque<(Instant, LoadReport)>,
    faults: Faults,
    orders: Orders,
    cuts: u64,
    down_until: Option<Instant>,
}

/// An engine process's shared state.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    changed: Notify,
    start: Instant,
    lag: Duration,
}

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

type App = Arc<Engine>;

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
        };
        Self { inner: Mutex::new(inner), changed: Notify::new(), start: Instant::now(), lag }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        Moment::new(self.start.elapsed())
    }

    async fn run(self: Arc<Self>) {
        loop {
            let now = self.now();
            let (wait, events) = {
                let mut inner = self.lock();
                let load = inner.model.load(now);
                inner.reports.push_back((Instant::now(), load));
                let lag = self.lag;
                while inner.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
                    inner.reports.pop_front();
                }
                if inner.model.is_idle() { (IDLE, Vec::new()) } else { inner.model.step(now) }
            };
            sleep(wait).await;
            let mut inner = self.lock();
            for event in events {
                inner.take(event);
            }
            drop(inner);
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    fn take(&mut self, event: Event) {
        match event {
            Event::Token { generation, offset, last } => {
                let text = format!("w{offset} ");
                let finish = last.then_some(Finish::Stop);
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

    fn down(&self) -> bool {
        self.down_until.is_some_and(|at| Instant::now() < at)
    }
}

/// Runs an engine until the process ends.
pub async fn serve(address: SocketAddr, engine: Engine) -> anyhow::Result<()> {
    let app = Arc::new(engine);
    tokio::spawn(Arc::clone(&app).run());
    let one = format!("{GENERATIONS_PATH}/:id");
    let router = Router::new()
        .post(GENERATIONS_PATH, generate)
        .get(&one, resume)
        .delete(&one, cancel)
        .get(LOAD_PATH, load)
        .get("/log", log)
        .get(ORDERS_PATH, order_state)
        .post(ORDERS_PATH, order)
        .post("/fault", fault)
        .with(State::new(app));
    serve_http(address, router).await
}

fn app(req: &Request) -> Result<App> {
    req.state::<App>().ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

async fn generate(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let body = req.bytes_with(None, MAX_BODY).await?;
    let Ok(order) = serde_json::from_slice::<Generate>(&body) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let (hang, refused) = {
        let inner = app.lock();
        let refused = inner.down() || inner.faults.refuse == Some(true);
        (inner.faults.hang == Some(true), refused)
    };
    if refused {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    if hang {
        futures::future::pending::<()>().await;
    }
    let id = order.generation;
    {
        let mut inner = app.lock();
        if inner.runs.contains_key(&id) {
            return Ok(status(StatusCode::CONFLICT));
        }
        inner.runs.insert(id, order.prompt.chars().take(64).collect());
        inner.answers.insert(id, Answer::default());
        let events = inner.model.submit(job(&order), app.now());
        for event in events {
            inner.take(event);
        }
    }
    Ok(Sse::new(follow(app, id, 0)).into_response())
}

async fn resume(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let query: From = req.query()?;
    let id = GenerationId::parse(&req.param::<String>("id")?);
    let Some(id) = id.filter(|id| app.lock().answers.get(id).is_some_and(|a| !a.lost)) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    let rewind = app.lock().faults.rewind == Some(true);
    let from = if rewind { 0 } else { query.from };
    Ok(Sse::new(follow(app, id, from)).into_response())
}

async fn cancel(req: Request) -> Result<Response> {
    let app = app(&req)?;
    if let Some(id) = GenerationId::parse(&req.param::<String>("id")?) {
        let mut inner = app.lock();
        inner.model.cancel(id);
        inner.answers.remove(&id);
    }
    Ok(StatusCode::OK.into_response())
}

async fn load(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let inner = app.lock();
    if inner.down() {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let Some((at, report)) = inner.reports.front() else {
        return Ok(Response::json(inner.model.load(app.now()))?);
    };
    let load = LoadReport { age: at.elapsed(), ..report.clone() };
    let leaving = inner.faults.leaving == Some(true);
    Ok(Response::json(Standing { load, leaving })?)
}

async fn log(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let inner = app.lock();
    let load = inner.model.load(app.now());
    let report = json!({
        "runs": inner.runs,
        "cold_peak": inner.model.cold_peak(),
        "crashes": inner.model.crashes(),
        "preemptions": load.preemptions,
        "running": load.running,
        "orders": inner.orders.seen,
    });
    Ok(Response::json(report)?)
}

async fn order_state(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let state = app.lock().orders.state();
    Ok(Response::json(state)?)
}

async fn order(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let order: FencedOrder = req.json().await?;
    let taken = app.lock().orders.take(&order);
    Ok(status(if taken { StatusCode::OK } else { StatusCode::CONFLICT }))
}

async fn fault(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let new: Faults = req.json().await?;
    let now = app.now();
    let mut inner = app.lock();
    match new.cold {
        Some(true) => inner.model.set_cold(now),
        Some(false) => inner.model.set_warm(),
        None => {}
    }
    if let Some(factor) = new.slow {
        inner.model.set_slow(factor);
    }
    if new.crash == Some(true) {
        for event in inner.model.crash(now) {
            inner.take(event);
        }
    }
    if let Some(ignores) = new.ignore_fence {
        inner.orders.ignores_fence = ignores;
    }
    if let Some(ms) = new.load_ms {
        inner.orders.load_time = Duration::from_millis(ms);
    }
    if new.cut_after.is_some() || new.stall_after.is_some() {
        inner.cuts += 1;
    }
    inner.faults = new;
    Ok(StatusCode::OK.into_response())
}

/// What a follower finds at its place.
enum Found {
    Token { token: Token, again: Option<Token> },
    Wait,
    End,
}

impl Engine {
    fn find(&self, id: GenerationId, place: &Place) -> Found {
        let inner = self.lock();
        let after = inner.faults.cut_after.filter(|_| inner.cuts > place.cuts);
        let cut = after.is_some_and(|n| place.sent >= n);
        let stalled = inner.faults.stall_after.filter(|_| inner.cuts > place.cuts);
        if stalled.is_some_and(|n| place.sent >= n) {
            return Found::Wait;
        }
        let Some(answer) = inner.answers.get(&id).filter(|a| !a.lost && !cut) else {
            return Found::End;
        };
        let index = usize::try_from(place.next).unwrap_or(usize::MAX);
        match answer.tokens.get(index) {
            Some(token) => {
                let again = if inner.faults.duplicate == Some(true) {
                    Some(token.clone())
                } else {
                    (inner.faults.cross == Some(true) && place.next % CROSS == 1)
                        .then(|| crossed(token))
                };
                Found::Token { token: token.clone(), again }
            }
            None if answer.tokens.last().is_some_and(|t| t.finish.is_some()) => Found::End,
            None => Found::Wait,
        }
    }
}

/// How far a follower has come.
struct Place {
    next: u64,
    sent: u64,
    cuts: u64,
    again: Option<Token>,
}

/// Follows a generation from an offset; ends early where the engine lost it or a cut is set.
fn follow(app: App, id: GenerationId, from: u64) -> impl Stream<Item = SseEvent> + Send {
    let cuts = app.lock().cuts;
    let place = Place { next: from, sent: 0, cuts, again: None };
    stream::unfold((app, place), move |(app, mut place)| async move {
        if let Some(token) = place.again.take() {
            return Some((event(&token), (app, place)));
        }
        loop {
            let changed = app.changed.notified();
            match app.find(id, &place) {
                Found::End => return None,
                Found::Wait => changed.await,
                Found::Token { token, again } => {
                    place.next += 1;
                    place.sent += 1;
                    place.again = again;
                    break Some((event(&token), place));
                }
            }
        }
        .map(|(event, place)| (event, (Arc::clone(&app), place)))
    })
}

/// A token of another generation at a place that fits, as a crossed stream has it.
fn crossed(token: &Token) -> Token {
    let generation = GenerationId::new([0xee; 16]);
    Token { generation, offset: token.offset + 1, text: "crossed ".to_owned(), finish: None }
}

fn event(token: &Token) -> SseEvent {
    SseEvent::default().data(serde_json::to_string(token).unwrap_or_default())
}

/// Reads the hidden output length and faults out of the prompt: `len=N`, `crash=now`.
fn job(order: &Generate) -> Job {
    let words = order.prompt.split_whitespace();
    let mut output = 20 + order.prompt.len() as u64 % 80;
    let mut poison = false;
    let mut prompt = 0;
    let mut prefix = 0;
    for word in words {
        prompt += 1;
        if let Some(n) = word.strip_prefix("len=").and_then(|n| n.parse().ok()) {
            output = n;
        }
        if let Some(n) = word.strip_prefix("prefix=").and_then(|n| n.parse().ok()) {
            prefix = n;
        }
        poison |= word == "crash=now";
    }
    Job {
        generation: order.generation,
        prompt,
        prefix,
        prefix_len: prompt / 2,
        output: output.clamp(1, order.max_tokens.max(1)),
        priority: order.priority,
        poison,
    }
}
