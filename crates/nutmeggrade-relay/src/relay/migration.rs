//! Migrates a running generation from an endpoint that is leaving to another engine.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::DispatchRequest;
use nutmeggrade_wire::engine::{self, Copied, MoveOutcome};
use rand::RngExt;
use tokio::time::sleep;

use super::reservation::{self, Reservation};
use super::stream::EventStream;
use super::upstream::AbortOnDrop;
use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// Range of the random delay, in milliseconds, before each check whether the source engine's link
/// is free. Announcements of copies arrive within a few milliseconds, so two rarely start at the
/// same time.
const LINK_CHECK_DELAY_MS: Range<u64> = 2..40;
/// Time for the announcement of a copy to reach other instances before it starts. A migration that
/// receives that of another copy from the same engine in this time backs off.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(8);
/// Timeout of a copy: the largest generation, queued behind a few others on the target engine's
/// link.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// Failed first copies after which the migration is abandoned.
const MAX_FAILED_COPIES: u32 = 3;
/// Delay before a retry while another copy of the same generation is in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(30);

/// A generation that was stopped and whose memory was copied to another engine.
#[derive(Debug)]
pub struct MigratedGeneration {
    /// Address of the engine that the memory was copied from.
    pub source: SocketAddr,
    /// Handle of the copy.
    pub handle: String,
    /// Events that the generation had produced when it stopped.
    pub events: u64,
    /// The reservation at the engine that holds the copy.
    pub reservation: Reservation,
}

/// The result of a migration.
#[derive(Debug)]
pub enum MigrationOutcome {
    /// The generation still runs at its engine, or was stopped and not copied.
    NotMigrated,
    /// The order to stop the generation had no answer, and may be carried out later.
    Unanswered,
    /// The generation had ended at its engine before the order to stop it arrived.
    Ended,
    /// The generation was stopped and can resume at another engine.
    Migrated(Box<MigratedGeneration>),
}

/// A background task that copies a generation to another engine while it keeps running.
///
/// An endpoint that is reclaimed ends all its generations a few seconds after its notice, which
/// would cut off most long responses. So the memory is copied while the generation runs; after the
/// stop only the part that was produced since is copied, and the client sees no pause. Copies queue
/// on the links of both engines: a generation that is stopped during another copy waits for that
/// copy, and its client sees a pause. Copies from one engine are therefore serialized: a migration
/// waits until the engine's link is free, copies its generation and stops it at once. Those copied
/// first are safe even if the time is too short for all. New copies start for as long as the engine
/// responds: the leave time that it states is old and often missing, and giving up too early loses
/// a response.
#[derive(Debug)]
pub struct Migration {
    task: AbortOnDrop<MigrationOutcome>,
    is_stopping: Arc<AtomicBool>,
}

impl Migration {
    /// Starts to migrate the generation of a stream.
    pub fn start(stream: &EventStream) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let source = stream.reservation.endpoint.clone();
        let memory = stream.memory_tokens();
        let mut dispatch_request =
            stream.request.dispatch_request(stream.node.ticket(), &stream.node.keyless_workspace);
        dispatch_request.avoid.insert(source.id.clone());
        dispatch_request.from = Some(source.domain.clone());
        dispatch_request.version.clone_from(&source.version);
        dispatch_request.memory = dispatch_request.memory.max(memory);
        dispatch_request.prompt = 0;
        let task = MigrationTask {
            node: Arc::clone(&stream.node),
            request_id: stream.request.id.clone(),
            source,
            dispatch_request,
            source_ticket: stream.reservation.ticket,
            memory_tokens: memory,
            is_stopping: Arc::clone(&is_stopping),
        };
        Self { task: AbortOnDrop(tokio::spawn(task.run())), is_stopping }
    }

    /// Returns whether the engine was ordered to stop the generation, so that its stream ends
    /// early.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Waits for the result.
    pub async fn outcome(&mut self) -> MigrationOutcome {
        (&mut self.task.0).await.unwrap_or(MigrationOutcome::NotMigrated)
    }
}

struct MigrationTask {
    node: Arc<Node>,
    request_id: RequestId,
    source: EndpointInfo,
    dispatch_request: DispatchRequest,
    source_ticket: Ticket,
    memory_tokens: u64,
    is_stopping: Arc<AtomicBool>,
}

/// The result of a first copy, made while the generation runs.
enum FirstCopy {
    Done(Box<(Reservation, CopyGuard)>),
    /// The copy failed; another attempt may succeed.
    Failed,
    /// Another copy from the engine was announced at the same time.
    Conflict,
    /// The generation has ended or no engine has room.
    Abandoned,
}

/// Marks the load table entries of a generation as being copied, for all instances, until dropped.
struct CopyGuard {
    node: Arc<Node>,
    tickets: [Ticket; 2],
}

impl CopyGuard {
    fn new(node: &Arc<Node>, tickets: [Ticket; 2], tokens: u64) -> Self {
        let guard = Self { node: Arc::clone(node), tickets };
        guard.set_tokens(tokens);
        guard
    }

    fn set_tokens(&self, tokens: u64) {
        let mut tables = lock(&self.node.tables);
        for ticket in self.tickets {
            tables.dispatcher.load_table.set_moving(ticket, tokens);
        }
        self.node.placed.notify_one();
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        self.set_tokens(0);
    }
}

impl MigrationTask {
    async fn run(mut self) -> MigrationOutcome {
        let mut failed_copies = 0;
        while failed_copies < MAX_FAILED_COPIES {
            self.wait_for_link().await;
            match self.first_copy().await {
                FirstCopy::Done(copy) => return self.stop_and_copy_rest(*copy).await,
                FirstCopy::Abandoned => return MigrationOutcome::NotMigrated,
                FirstCopy::Failed => failed_copies += 1,
                FirstCopy::Conflict => {}
            }
        }
        MigrationOutcome::NotMigrated
    }

    /// Waits until no copy from the source engine is in progress and it takes orders.
    async fn wait_for_link(&self) {
        loop {
            let delay = rand::rng().random_range(LINK_CHECK_DELAY_MS);
            sleep(Duration::from_millis(delay)).await;
            let tables = lock(&self.node.tables);
            if tables.dispatcher.load_table.load(&self.source.id).moving == 0
                && !tables.is_backing_off(&self.source.id, self.node.now())
            {
                return;
            }
        }
    }

    /// Copies the memory of the running generation to the best engine that has room.
    async fn first_copy(&mut self) -> FirstCopy {
        let Some(target) = self.reserve_target() else { return FirstCopy::Abandoned };
        let guard =
            CopyGuard::new(&self.node, [self.source_ticket, target.ticket], self.memory_tokens);
        sleep(ANNOUNCE_DELAY).await;
        if lock(&self.node.tables).dispatcher.load_table.load(&self.source.id).moving
            > self.memory_tokens
        {
            return FirstCopy::Conflict;
        }
        let result = self.request_copy(&target.endpoint, false).await;
        tracing::info!(event = "copied", request = %self.request_id, from = %self.source.id,
            to = %target.endpoint.id, tokens = self.memory_tokens, end = ?result);
        match result {
            MoveOutcome::Copied(_) => FirstCopy::Done(Box::new((target, guard))),
            MoveOutcome::NoSuchRun => FirstCopy::Abandoned,
            MoveOutcome::Busy => {
                sleep(BUSY_RETRY_DELAY).await;
                FirstCopy::Failed
            }
            MoveOutcome::NoRoom(_) | MoveOutcome::Failed(_) => {
                self.dispatch_request.avoid.insert(target.endpoint.id.clone());
                FirstCopy::Failed
            }
        }
    }

    fn reserve_target(&mut self) -> Option<Reservation> {
        self.dispatch_request.ticket = self.node.ticket();
        let id = {
            let mut tables = lock(&self.node.tables);
            // An endpoint without a registry entry may be gone, so it is no target.
            self.dispatch_request.avoid.extend(tables.registry.missing().cloned());
            let now = self.node.now();
            let id = tables.dispatcher.choose_move_target(&self.dispatch_request, now)?;
            tables.dispatcher.place(&self.dispatch_request, &id, now);
            tables.count_turn(&id, now);
            id
        };
        reservation::claim(&self.node, self.dispatch_request.ticket, &id)
    }

    /// Stops the generation and copies what it produced since the first copy.
    async fn stop_and_copy_rest(
        &self,
        (reservation, _guard): (Reservation, CopyGuard),
    ) -> MigrationOutcome {
        self.is_stopping.store(true, Ordering::Relaxed);
        let started_at = self.node.now();
        let result = self.request_copy(&reservation.endpoint, true).await;
        let elapsed = self.node.now().since(started_at);
        tracing::info!(event = "stopped_run", request = %self.request_id, from = %self.source.id,
            to = %reservation.endpoint.id, ms = elapsed.as_millis(), end = ?result);
        let migrated = |Copied { handle, events }| {
            let source = self.source.address;
            MigrationOutcome::Migrated(Box::new(MigratedGeneration {
                source,
                handle,
                events,
                reservation,
            }))
        };
        match result {
            MoveOutcome::Copied(copied) | MoveOutcome::NoRoom(Some(copied)) => migrated(copied),
            MoveOutcome::NoSuchRun => MigrationOutcome::Ended,
            MoveOutcome::Failed(_) => MigrationOutcome::Unanswered,
            MoveOutcome::Busy | MoveOutcome::NoRoom(None) => MigrationOutcome::NotMigrated,
        }
    }

    async fn request_copy(&self, target: &EndpointInfo, is_final: bool) -> MoveOutcome {
        let body = engine::write_move(&self.request_id, target.address, is_final);
        let order =
            engine_call::order(&self.node, &self.source, engine::MOVE_PATH, body, COPY_TIMEOUT);
        match order.await {
            Ok(response) => engine::read_move(response.status(), response.body()),
            Err(error) => {
                tracing::info!(event = "order_failed", request = %self.request_id,
                    endpoint = %self.source.id, error = format!("{error:#}"));
                MoveOutcome::Failed(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }
}
