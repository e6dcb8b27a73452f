//! Copies a generation away from an endpoint that leaves.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::Need;
use nutmeggrade_wire::engine::{self, Copied, MoveEnd};
use rand::RngExt;
use tokio::time::sleep;

use super::place::{self, Place};
use super::stream::Stream;
use super::upstream::EndOnDrop;
use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// Shortest and longest wait before a look whether the engine's link is free. Instances hear of each
/// other's copies within a few milliseconds, so that two seldom begin in the same moment.
const TURN: Range<u64> = 2..40;
/// Time in which others hear that a copy begins. Whoever hears of another one in it draws again.
const SETTLE: Duration = Duration::from_millis(8);
/// Longest time for a copy: the largest generation's, behind a few others on the link of the engine
/// that it goes to.
const COPY: Duration = Duration::from_secs(3);
/// Engines that are tried as the copy's place.
const TRIES: u32 = 3;
/// Wait while another copy of the generation is under way.
const BUSY_WAIT: Duration = Duration::from_millis(30);

/// A generation whose memory is at another engine.
#[derive(Debug)]
pub struct Moved {
    /// Where the copy came from.
    pub source: SocketAddr,
    /// Names the copy.
    pub handle: String,
    /// Events that the generation had made.
    pub events: u64,
    /// The place at the engine that has the copy.
    pub place: Place,
}

/// How an escape ended.
#[derive(Debug)]
pub enum Escaped {
    /// The generation runs on where it was, or has ended there.
    Stays,
    /// It was stopped and is at another engine.
    Moved(Box<Moved>),
}

/// Copies a generation away from an endpoint that leaves, while it runs on.
///
/// An endpoint that is reclaimed ends all its generations after a notice of seconds, and most of the
/// long answers would be lost. The memory is copied while the generation goes on; only what was made
/// meanwhile is copied after it was stopped, so that the client sees no pause. Copies queue on the
/// links of both engines: whoever stops its generation while another is copied waits behind that one,
/// and its client sees the pause. So generations take turns. Each instance waits until none is being
/// copied from the engine, copies one and stops it at once; those that have had their turn are safe
/// even if the time is too short for all. Copies are begun for as long as the engine answers: its own
/// word on when it goes is old and often missing, and one that is given up too early is an answer lost.
#[derive(Debug)]
pub struct Escape {
    task: EndOnDrop<Escaped>,
    is_stopping: Arc<AtomicBool>,
}

impl Escape {
    /// Starts to copy the generation of a stream.
    pub fn start(stream: &Stream) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let source = stream.place.endpoint.clone();
        let memory = stream.memory();
        let mut need = stream.call.need(stream.node.ticket(), &stream.node.keyless_workspace);
        need.avoid.insert(source.id.clone());
        need.from = Some(source.domain.clone());
        need.memory = need.memory.max(memory);
        need.prompt = 0;
        let run = Run {
            node: Arc::clone(&stream.node),
            id: stream.call.id.clone(),
            source,
            need,
            ticket: stream.place.ticket,
            memory,
            is_stopping: Arc::clone(&is_stopping),
        };
        Self { task: EndOnDrop(tokio::spawn(run.run())), is_stopping }
    }

    /// Says whether the generation is told to stop, so that its stream ends without its end.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Waits for the end.
    pub async fn ended(&mut self) -> Escaped {
        (&mut self.task.0).await.unwrap_or(Escaped::Stays)
    }
}

struct Run {
    node: Arc<Node>,
    id: RequestId,
    source: EndpointInfo,
    need: Need,
    ticket: Ticket,
    memory: u64,
    is_stopping: Arc<AtomicBool>,
}

/// How a first copy ended.
enum Copy {
    Done((Place, Moving)),
    Failed,
    Collided,
    Over,
}

/// Shows to all instances that a generation is being copied, until it is dropped.
struct Moving {
    node: Arc<Node>,
    tickets: [Ticket; 2],
}

impl Moving {
    fn new(node: &Arc<Node>, tickets: [Ticket; 2], tokens: u64) -> Self {
        let moving = Self { node: Arc::clone(node), tickets };
        moving.set(tokens);
        moving
    }

    fn set(&self, tokens: u64) {
        let mut tables = lock(&self.node.tables);
        for ticket in self.tickets {
            tables.dispatcher.book.set_moving(ticket, tokens);
        }
        self.node.placed.notify_one();
    }
}

impl Drop for Moving {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Run {
    async fn run(mut self) -> Escaped {
        let mut failed = 0;
        while failed < TRIES {
            self.turn().await;
            match self.copy().await {
                Copy::Done(copied) => return self.stop(copied).await,
                Copy::Over => return Escaped::Stays,
                Copy::Failed => failed += 1,
                Copy::Collided => {}
            }
        }
        Escaped::Stays
    }

    /// Waits until nothing is copied from the engine.
    async fn turn(&self) {
        loop {
            let wait = rand::rng().random_range(TURN);
            sleep(Duration::from_millis(wait)).await;
            if lock(&self.node.tables).dispatcher.book.at(&self.source.id).moving == 0 {
                return;
            }
        }
    }

    /// Makes the first copy, at the best engine that has room.
    async fn copy(&mut self) -> Copy {
        let Some(place) = self.target() else { return Copy::Over };
        let moving = Moving::new(&self.node, [self.ticket, place.ticket], self.memory);
        sleep(SETTLE).await;
        if lock(&self.node.tables).dispatcher.book.at(&self.source.id).moving > self.memory {
            return Copy::Collided;
        }
        let ended = self.order(&place.endpoint, false).await;
        tracing::info!(event = "copied", request = %self.id, from = %self.source.id,
            to = %place.endpoint.id, tokens = self.memory, end = ?ended);
        match ended {
            MoveEnd::Copied(_) => Copy::Done((place, moving)),
            MoveEnd::NoSuchRun => Copy::Over,
            MoveEnd::Busy => {
                sleep(BUSY_WAIT).await;
                Copy::Failed
            }
            MoveEnd::NoRoom(_) | MoveEnd::Failed(_) => {
                self.need.avoid.insert(place.endpoint.id.clone());
                Copy::Failed
            }
        }
    }

    fn target(&mut self) -> Option<Place> {
        self.need.ticket = self.node.ticket();
        let id = {
            let mut tables = lock(&self.node.tables);
            // Those that may be gone are no place to go on.
            self.need.avoid.extend(tables.registry.missing().cloned());
            let id = tables.dispatcher.choose_move(&self.need, self.node.now())?;
            tables.dispatcher.place(&self.need, &id);
            id
        };
        place::take(&self.node, self.need.ticket, &id)
    }

    /// Stops the generation and copies the rest.
    async fn stop(&self, (place, _moving): (Place, Moving)) -> Escaped {
        self.is_stopping.store(true, Ordering::Relaxed);
        let began = self.node.now();
        let ended = self.order(&place.endpoint, true).await;
        let took = self.node.now().since(began);
        tracing::info!(event = "stopped_run", request = %self.id, from = %self.source.id,
            to = %place.endpoint.id, ms = took.as_millis(), end = ?ended);
        let moved = |Copied { handle, events }| {
            let source = self.source.address;
            Escaped::Moved(Box::new(Moved { source, handle, events, place }))
        };
        match ended {
            MoveEnd::Copied(copied) | MoveEnd::NoRoom(Some(copied)) => moved(copied),
            _ => Escaped::Stays,
        }
    }

    async fn order(&self, to: &EndpointInfo, last: bool) -> MoveEnd {
        let body = engine::write_move(&self.id, to.address, last);
        let answer = engine_call::ask(
            self.source.address,
            engine::MOVE_METHOD,
            engine::MOVE_PATH,
            body,
            COPY,
        );
        match answer.await {
            Ok((status, body)) => engine::read_move(status, &body),
            Err(error) => {
                tracing::info!(event = "order_failed", request = %self.id,
                    endpoint = %self.source.id, error = format!("{error:#}"));
                MoveEnd::Failed(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }
}
