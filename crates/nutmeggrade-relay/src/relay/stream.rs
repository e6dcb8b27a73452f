//! Forwards an event stream, and migrates its generation when its endpoint leaves.

mod ending;
mod event_gaps;
mod event_memory;
mod run_end;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use nutmeggrade_core::peer::StreamVersion;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::{EngineSpec, RouteKind};
use nutmeggrade_state::attempt::Attempt;
use nutmeggrade_state::event_splitter::EventSplitter;
use tokio::sync::watch;

use self::event_gaps::EventGaps;
use self::event_memory::EventMemory;
use self::run_end::RunEnd;
use super::client_request::ClientRequest;
use super::handler::RequestHandler;
use super::migration::{Migration, MigrationOutcome};
use super::open_response::OpenResponse;
use super::reservation::Reservation;
use super::response;
use super::transfer_end::TransferEnd;
use super::upstream::UpstreamBody;
use crate::answer_body::AnswerBody;
use crate::answer_queue::{AnswerSender, answer_queue};
use crate::node::{Node, log_change};
use crate::open_requests::OpenEntry;
use crate::tables::lock;

/// Events after which the pace of a running stream is recorded.
const PACE_EVENTS: u64 = 24;
/// Interval between two announcements of a stream's version, a part of the time for which it is
/// remembered.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_mins(1);
/// Events that suffice to record the pace of a finished stream.
const FINISHED_PACE_EVENTS: u64 = 8;

/// An event stream that is forwarded to a client.
pub struct EventStream {
    /// The instance.
    pub node: Arc<Node>,
    /// The request.
    pub request: ClientRequest,
    /// Tracks the sends and whether the request may have run.
    pub attempt: Attempt,
    /// The reservation at the endpoint that produces the events.
    pub reservation: Reservation,
    /// Splits the bytes into complete events and counts those forwarded.
    pub splitter: EventSplitter,
    /// The engine settings of the service; `None` for plain services.
    pub engine: Option<EngineSpec>,
    upstream: Option<UpstreamBody>,
    framing: BodyFraming,
    sender: AnswerSender,
    event_memory: EventMemory,
    sent_at: Moment,
    first_event: Option<Moment>,
    announced_at: Option<Moment>,
    pace_recorded: bool,
    moves: u32,
    /// Whether an order to stop the run may be carried out yet.
    may_be_stopped: bool,
    entry: OpenEntry,
    run_end: RunEnd,
    gaps: EventGaps,
}

/// Starts to forward an event stream in the background and returns the response to the client.
pub fn start(
    node: &Arc<Node>,
    handler: RequestHandler,
    open: OpenResponse,
) -> Response<AnswerBody> {
    let (sender, receiver) = answer_queue();
    let OpenResponse { response, reservation } = open;
    let RequestHandler { request, attempt, open: entry, .. } = handler;
    let engine = node.map().service(&request.service).and_then(|s| s.engine);
    let gap_limit = gap_limit(node, &request);
    let stream = EventStream {
        node: Arc::clone(node),
        splitter: EventSplitter::new(request.position),
        request,
        attempt,
        reservation,
        engine,
        framing: response.body.framing(),
        upstream: Some(response.body),
        sent_at: response.sent_at,
        sender,
        event_memory: EventMemory::default(),
        first_event: None,
        announced_at: None,
        pace_recorded: false,
        moves: 0,
        may_be_stopped: false,
        entry,
        run_end: RunEnd::default(),
        gaps: EventGaps::new(gap_limit),
    };
    stream.begin_run();
    tokio::spawn(stream.run());
    response::from_endpoint(response.head, AnswerBody::Chunks(receiver))
}

impl EventStream {
    async fn run(mut self) {
        let end = self.forward().await;
        self.attempt.end();
        let now = self.node.now();
        self.node.metrics.requests.with_label_values(&["stream", end.as_str()]).inc();
        self.node.metrics.body_ends.with_label_values(&[self.framing.as_str(), end.as_str()]).inc();
        let first = self.first_event.map_or(Duration::ZERO, |at| at.since(self.request.arrived_at));
        tracing::info!(event = "stream_ended", request = %self.request.id,
            route = self.request.route.name, endpoint = %self.reservation.endpoint.id,
            end = end.as_str(), events = self.splitter.passed(), moves = self.moves,
            framing = self.framing.as_str(), partial = self.run_end.partial_bytes,
            longest_gap_ms = self.gaps.longest().as_millis(), gaps_late = self.gaps.late(),
            first_ms = first.as_millis(), ms = now.since(self.request.arrived_at).as_millis());
        if end == TransferEnd::UpstreamBroken && !self.node.is_cut_off(&self.request.service) {
            self.record_outcome(Outcome::Failed, now);
        }
        if end == TransferEnd::Completed {
            self.node.note_completed(&self.request.suspects);
            self.record_pace(FINISHED_PACE_EVENTS, now);
            let mut tables = lock(&self.node.tables);
            tables.pace.ended(self.generated_tokens(), now.since(self.request.arrived_at));
            tables
                .dispatcher
                .load_table
                .health_mut(&self.reservation.endpoint.id)
                .record_success(now);
        }
    }

    /// Records that the endpoint begins to answer.
    fn begin_run(&self) {
        let suspects = Arc::clone(&self.request.suspects);
        let (ticket, now) = (self.reservation.ticket, self.node.now());
        let mut tables = lock(&self.node.tables);
        tables.running.begin(ticket.0, suspects, now);
        if self.engine.is_some() {
            let limits = self.request.silence_limits();
            tables.stalls.begin(ticket, &self.reservation.endpoint.id, limits, now);
        }
    }

    async fn forward(&mut self) -> TransferEnd {
        let mut changes = self.node.routing_changes();
        let mut migration = self.migrate_if_leaving();
        let deadline = self.request.deadline;
        let clock = self.node.clock;
        loop {
            let event = tokio::select! {
                biased;
                () = self.sender.closed() => return TransferEnd::ClientGone,
                outcome = migration_outcome(&mut migration) => StreamEvent::MigrationEnded(outcome),
                bytes = next_bytes(&mut self.upstream) => StreamEvent::Bytes(bytes),
                () = next_routing_change(&mut changes), if migration.is_none() =>
                    StreamEvent::RoutingChanged,
                () = clock.until(deadline) => return TransferEnd::DeadlinePassed,
            };
            match event {
                StreamEvent::Bytes(Some(Ok(bytes))) => {
                    // A client that stops reading blocks the stream until the deadline at most.
                    let is_connected = tokio::select! {
                        is_connected = self.forward_bytes(&bytes) => is_connected,
                        () = clock.until(deadline) => return TransferEnd::DeadlinePassed,
                    };
                    if !is_connected {
                        return TransferEnd::ClientGone;
                    }
                }
                StreamEvent::Bytes(end) => {
                    self.note_run_end(end.and_then(Result::err));
                    let ended = match &migration {
                        Some(migration) if !self.run_end.is_final(migration.is_stopping()) => None,
                        _ => self.end_run().await,
                    };
                    if let Some(end) = ended {
                        return end;
                    }
                }
                StreamEvent::RoutingChanged => migration = self.migrate_if_leaving(),
                StreamEvent::MigrationEnded(outcome) => {
                    migration = None;
                    if let Some(end) = self.finish_migration(outcome).await {
                        return end;
                    }
                    // The target may have started to leave during the migration.
                    if self.moves > 0 {
                        migration = self.migrate_if_leaving();
                    }
                }
            }
        }
    }

    /// Forwards the complete events in the bytes; returns whether the client is still connected.
    async fn forward_bytes(&mut self, bytes: &[u8]) -> bool {
        self.entry.received();
        let events = self.splitter.push(bytes);
        let waiting = events.as_ref().map_or(0, Bytes::len) + self.splitter.partial_bytes();
        let has_room = self.event_memory.set(&self.request.memory, waiting);
        let events = if has_room { events } else { events.or_else(|| self.splitter.take_piece()) };
        let Some(events) = events else {
            let (number, now) = (self.reservation.ticket.0, self.node.now());
            lock(&self.node.tables).running.progress(number, now);
            return true;
        };
        self.record_progress();
        let is_connected = self.sender.send(events).await.is_ok();
        self.event_memory.set(&self.request.memory, self.splitter.partial_bytes());
        is_connected
    }

    fn record_progress(&mut self) {
        let now = self.node.now();
        self.announce_version(now);
        let gap = self.gaps.record(self.splitter.passed(), now).filter(|_| self.engine.is_some());
        let mut tables = lock(&self.node.tables);
        tables.running.progress(self.reservation.ticket.0, now);
        tables.stalls.record_event(self.reservation.ticket, now);
        if self.first_event.is_none() {
            self.first_event = Some(now);
            let took = now.since(self.sent_at);
            if let Some(prompt) = &self.request.prompt {
                tables.pace.prompt_read(prompt.tokens, took);
            }
            let first = Outcome::FirstResponse(took);
            tables.note_outcome(&self.reservation.endpoint, &self.request.route.name, first, now);
            tables.dispatcher.load_table.record_prompt_read(self.reservation.ticket);
            tables.release(now);
            self.node.placed.notify_one();
        }
        let prompt = self.request.prompt.as_ref().map_or(0, |p| p.tokens);
        tables
            .dispatcher
            .load_table
            .grow(self.reservation.ticket, prompt + self.generated_tokens());
        let endpoint = &self.reservation.endpoint;
        let change = gap.and_then(|gap| tables.note_gap(endpoint, gap, now));
        drop(tables);
        if let Some(change) = change {
            log_change(&endpoint.id, change);
        }
        self.record_pace(PACE_EVENTS, now);
    }

    /// Announces at which version the stream began, for as long as its client may take it up.
    fn announce_version(&mut self, now: Moment) {
        let is_due = self.announced_at.is_none_or(|at| now.since(at) > ANNOUNCEMENT_INTERVAL);
        if !is_due || self.request.route.kind != RouteKind::Resumable {
            return;
        }
        self.announced_at = Some(now);
        let version = self.reservation.endpoint.version.clone();
        if let Some((stream, version)) = self.request.stream_key().zip(version) {
            self.node.announce_stream(StreamVersion { stream, version });
        }
    }

    /// Records the time per event once, after `min_events`. A stream that moved is skipped, since
    /// its pace mixes two engines.
    fn record_pace(&mut self, min_events: u64, now: Moment) {
        let events = self.splitter.passed();
        let Some(first) = self.first_event.filter(|_| events >= min_events && !self.pace_recorded)
        else {
            return;
        };
        self.pace_recorded = true;
        let pace = now.since(first).div_f64(events as f64);
        self.record_outcome(Outcome::EventInterval(pace), now);
    }

    fn record_outcome(&self, outcome: Outcome, now: Moment) {
        if self.moves == 0 {
            let route = &self.request.route.name;
            lock(&self.node.tables).note_outcome(&self.reservation.endpoint, route, outcome, now);
        }
    }

    /// Returns the number of generated tokens.
    fn generated_tokens(&self) -> u64 {
        self.splitter.passed() * u64::from(self.engine.map_or(1, |e| e.stride))
    }

    /// Returns the memory that the generation occupies, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.request.prompt.as_ref().map_or(0, |p| p.tokens) + self.generated_tokens()
    }

    /// Starts to migrate the generation if its endpoint is leaving and its engine supports it.
    fn migrate_if_leaving(&self) -> Option<Migration> {
        self.engine.filter(|e| e.can_move)?;
        let is_leaving =
            lock(&self.node.tables).registry.should_move_work(&self.reservation.endpoint.id);
        is_leaving.then(|| Migration::start(self))
    }

    fn switch_upstream(&mut self, upstream: UpstreamBody, reservation: Reservation) {
        self.framing = upstream.framing();
        self.run_end = RunEnd::default();
        self.may_be_stopped = false;
        self.gaps.change_endpoint();
        self.upstream = Some(upstream);
        self.entry.sent(&reservation.endpoint.id);
        self.reservation = reservation;
        self.begin_run();
        self.moves += 1;
        lock(&self.node.tables).dispatcher.load_table.record_prompt_read(self.reservation.ticket);
    }
}

/// Returns the limit for the time between two events of a request's stream. A forwarded request
/// doesn't carry that of its route.
fn gap_limit(node: &Node, request: &ClientRequest) -> Option<Duration> {
    if request.is_forwarded {
        return lock(&node.tables).dispatcher.paces.gap_limit(&request.service);
    }
    Some(request.route.gap).filter(|gap| !gap.is_zero())
}

enum StreamEvent {
    Bytes(Option<Result<Bytes, hyper::Error>>),
    RoutingChanged,
    MigrationEnded(MigrationOutcome),
}

/// Returns the next bytes; without an upstream, never completes.
async fn next_bytes(upstream: &mut Option<UpstreamBody>) -> Option<Result<Bytes, hyper::Error>> {
    match upstream {
        Some(upstream) => upstream.next().await,
        None => std::future::pending().await,
    }
}

/// Returns the result of the migration; without one, never completes.
async fn migration_outcome(migration: &mut Option<Migration>) -> MigrationOutcome {
    match migration {
        Some(migration) => migration.outcome().await,
        None => std::future::pending().await,
    }
}

/// Waits until streams may have to move.
async fn next_routing_change(changes: &mut watch::Receiver<u64>) {
    if changes.changed().await.is_err() {
        // The instance is shutting down, so no further change is reported.
        std::future::pending::<()>().await;
    }
}
