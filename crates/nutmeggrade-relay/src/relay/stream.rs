//! Passes an event stream on, and takes its generation along when its endpoint leaves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::EngineSpec;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_state::attempt::Attempt;
use nutmeggrade_state::event_splitter::EventSplitter;
use nutmeggrade_wire::answer::Answered;
use tokio::sync::{mpsc, watch};

use super::call::Call;
use super::crash;
use super::end::End;
use super::escape::{Escape, Escaped};
use super::place::Place;
use super::plain;
use super::search::{Begun, Search};
use super::splice;
use super::upstream::Upstream;
use crate::answer_body::{AnswerBody, Piece};
use crate::node::Node;
use crate::tables::lock;

/// Pieces that wait for a client that reads slowly; then the engine has to wait too.
const PIECES: usize = 16;

/// Events after which their pace tells how fast an engine is, and that suffice at a stream's end.
const PACED: u64 = 24;
const FEWEST_PACED: u64 = 8;

/// An event stream on its way to a client.
pub struct Stream {
    /// The instance.
    pub node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// What may be said and done about it.
    pub attempt: Attempt,
    /// The place at the endpoint that makes the events.
    pub place: Place,
    /// The events that were passed on.
    pub splitter: EventSplitter,
    /// What all engines of the service have in common.
    pub engine: Option<EngineSpec>,
    upstream: Option<Upstream>,
    is_framed: bool,
    sender: mpsc::Sender<Piece>,
    sent: Moment,
    began: Option<Moment>,
    is_paced: bool,
    moves: u32,
}

/// Begins to pass an event stream on.
pub fn start(node: &Arc<Node>, search: Search, begun: Begun) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(PIECES);
    let Begun { answer, place } = begun;
    let Search { call, attempt, .. } = search;
    let engine = node.map().service(&call.service).and_then(|s| s.engine);
    let stream = Stream {
        node: Arc::clone(node),
        splitter: EventSplitter::new(call.position),
        call,
        attempt,
        place,
        engine,
        is_framed: is_framed(&answer.said, &answer.head.headers),
        upstream: Some(answer.upstream),
        sent: answer.sent,
        sender,
        began: None,
        is_paced: false,
        moves: 0,
    };
    tokio::spawn(stream.run());
    plain::response(answer.head, AnswerBody::Pieces(receiver))
}

/// Says whether the end of an answer shows in its bytes, and not only by the connection's end.
fn is_framed(said: &Answered, headers: &http::HeaderMap) -> bool {
    said.length.is_some() || headers.contains_key(http::header::TRANSFER_ENCODING)
}

impl Stream {
    async fn run(mut self) {
        let end = self.pass().await;
        self.attempt.end();
        let now = self.node.now();
        self.node.metrics.requests.with_label_values(&["stream", end.as_str()]).inc();
        let first = self.began.map_or(Duration::ZERO, |b| b.since(self.call.arrived));
        tracing::info!(event = "stream_ended", request = %self.call.id, route = self.call.route.name,
            endpoint = %self.place.endpoint.id, end = end.as_str(), events = self.splitter.passed(),
            moves = self.moves, first_ms = first.as_millis(),
            ms = now.since(self.call.arrived).as_millis());
        if end == End::Broken {
            self.note_outcome(Outcome::Failed, now);
        }
        if end == End::Finished {
            self.note_pace(FEWEST_PACED, now);
            let mut tables = lock(&self.node.tables);
            tables.pace.ended(self.made(), now.since(self.call.arrived));
            tables.dispatcher.book.health_mut(&self.place.endpoint.id).succeeded(now);
        }
    }

    async fn pass(&mut self) -> End {
        let mut departures = self.node.departures();
        let mut escape = self.escape_if_leaving();
        let deadline = self.call.deadline;
        let clock = self.node.clock;
        loop {
            let step = tokio::select! {
                biased;
                () = self.sender.closed() => return End::ClientGone,
                escaped = ended(&mut escape) => Step::Escaped(escaped),
                bytes = next(&mut self.upstream) => Step::Bytes(bytes),
                () = changed(&mut departures), if escape.is_none() => Step::Departure,
                () = clock.until(deadline) => return End::Overdue,
            };
            match step {
                Step::Bytes(Some(Ok(bytes))) => {
                    // A client that reads nothing holds the stream up, but not beyond its time.
                    let is_there = tokio::select! {
                        is_there = self.push(&bytes) => is_there,
                        () = clock.until(deadline) => return End::Overdue,
                    };
                    if !is_there {
                        return End::ClientGone;
                    }
                }
                Step::Bytes(end) => {
                    self.upstream = None;
                    let is_stopping = escape.as_ref().is_some_and(Escape::is_stopping);
                    if end.is_none() && (self.is_framed || !is_stopping) {
                        return tokio::select! {
                            end = self.finish() => end,
                            () = clock.until(deadline) => End::Overdue,
                        };
                    }
                    if escape.is_none() && !self.recover(end.and_then(Result::err)).await {
                        return End::Broken;
                    }
                }
                Step::Departure => escape = self.escape_if_leaving(),
                Step::Escaped(escaped) => {
                    escape = None;
                    if !self.escaped(escaped).await {
                        return End::Broken;
                    }
                    // It may have gone to an endpoint that leaves meanwhile.
                    if self.moves > 0 {
                        escape = self.escape_if_leaving();
                    }
                }
            }
        }
    }

    /// Passes bytes on; says whether the client is still there.
    async fn push(&mut self, bytes: &[u8]) -> bool {
        let Some(events) = self.splitter.push(bytes) else { return true };
        self.note_progress();
        self.sender.send(Piece::Bytes(events)).await.is_ok()
    }

    fn note_progress(&mut self) {
        let now = self.node.now();
        let mut tables = lock(&self.node.tables);
        if self.began.is_none() {
            self.began = Some(now);
            let first = Outcome::FirstResponse(now.since(self.sent));
            tables.note_outcome(&self.place.endpoint, &self.call.route.name, first, now);
            tables.dispatcher.book.has_read(self.place.ticket);
            tables.release(now);
            self.node.placed.notify_one();
        }
        let prompt = self.call.prompt.as_ref().map_or(0, |p| p.tokens);
        tables.dispatcher.book.grow(self.place.ticket, prompt + self.made());
        drop(tables);
        self.note_pace(PACED, now);
    }

    /// Notes how fast the engine makes events, once; a stream that moved tells of two engines.
    fn note_pace(&mut self, fewest: u64, now: Moment) {
        let events = self.splitter.passed();
        let Some(began) = self.began.filter(|_| events >= fewest && !self.is_paced) else { return };
        self.is_paced = true;
        let pace = now.since(began).div_f64(events as f64);
        self.note_outcome(Outcome::EventInterval(pace), now);
    }

    fn note_outcome(&self, outcome: Outcome, now: Moment) {
        if self.moves == 0 {
            let route = &self.call.route.name;
            lock(&self.node.tables).note_outcome(&self.place.endpoint, route, outcome, now);
        }
    }

    /// Returns how many tokens the generation has made.
    fn made(&self) -> u64 {
        self.splitter.passed() * u64::from(self.engine.map_or(1, |e| e.stride))
    }

    /// Returns the memory that the generation takes now, in tokens.
    pub fn memory(&self) -> u64 {
        self.call.prompt.as_ref().map_or(0, |p| p.tokens) + self.made()
    }

    async fn finish(&mut self) -> End {
        if let Some(rest) = self.splitter.take_rest()
            && self.sender.send(Piece::Bytes(rest)).await.is_err()
        {
            return End::ClientGone;
        }
        // The channel of an answer with a length may be closed once its last byte is out.
        drop(self.sender.send(Piece::End).await);
        End::Finished
    }

    /// Begins to take the generation along if its endpoint leaves.
    fn escape_if_leaving(&self) -> Option<Escape> {
        self.engine.filter(|e| e.can_move)?;
        let is_parting = lock(&self.node.tables).registry.is_parting(&self.place.endpoint.id);
        is_parting.then(|| Escape::start(self))
    }

    /// Goes on where the generation was taken; says whether the stream goes on.
    async fn escaped(&mut self, escaped: Escaped) -> bool {
        match escaped {
            Escaped::Stays if self.upstream.is_some() => true,
            Escaped::Stays => self.recover(None).await,
            Escaped::Moved(moved) => {
                self.upstream = None;
                self.splitter.cut();
                match splice::go_on(self, *moved).await {
                    Some((upstream, place)) => {
                        self.go_on(upstream, place);
                        true
                    }
                    None => self.recover(None).await,
                }
            }
        }
    }

    fn go_on(&mut self, upstream: Upstream, place: Place) {
        self.upstream = Some(upstream);
        self.place = place;
        self.moves += 1;
        lock(&self.node.tables).dispatcher.book.has_read(self.place.ticket);
    }

    /// Looks for another way after the endpoint broke the stream off; says whether it goes on.
    async fn recover(&mut self, error: Option<hyper::Error>) -> bool {
        let endpoint = self.place.endpoint.id.clone();
        self.node.note_health(&endpoint, Health::lost);
        let why = error.map_or_else(|| "ended".to_owned(), |e| e.to_string());
        tracing::info!(event = "stream_broke", request = %self.call.id, endpoint = %endpoint,
            events = self.splitter.passed(), why);
        self.attempt.lost();
        crash::look(&self.node, &self.call, &self.place.endpoint);
        self.splitter.cut();
        match splice::run_again(self).await {
            Some((upstream, place)) => {
                self.go_on(upstream, place);
                true
            }
            None => false,
        }
    }
}

enum Step {
    Bytes(Option<Result<Bytes, hyper::Error>>),
    Departure,
    Escaped(Escaped),
}

/// Returns the next bytes, or waits for ever where nothing can come.
async fn next(upstream: &mut Option<Upstream>) -> Option<Result<Bytes, hyper::Error>> {
    match upstream {
        Some(upstream) => upstream.next().await,
        None => std::future::pending().await,
    }
}

/// Returns how the escape ended, or waits for ever where there is none.
async fn ended(escape: &mut Option<Escape>) -> Escaped {
    match escape {
        Some(escape) => escape.ended().await,
        None => std::future::pending().await,
    }
}

/// Waits for the next departure of any endpoint.
async fn changed(departures: &mut watch::Receiver<u64>) {
    if departures.changed().await.is_err() {
        // The instance is ending, so nobody departs any more.
        std::future::pending::<()>().await;
    }
}
