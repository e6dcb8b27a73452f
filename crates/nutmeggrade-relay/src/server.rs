//! Starting and stopping an instance that serves routes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::logs::LogBuffer;
use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{admin, front, reload, ticker, watch};

/// Part of the grace after which no new connection is taken: what comes then could not end in time.
const CLOSING: f64 = 0.8;
/// Part of the grace after which the process ends; it would be killed a moment later.
const END: f64 = 0.95;
/// Heartbeats sent in a row to say that this instance leaves; one may be lost.
const FAREWELLS: usize = 3;
/// Time between them.
const FAREWELL_PAUSE: Duration = Duration::from_millis(40);

/// Serves until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
///
/// Fails if a socket can't be opened or a signal can't be handled.
pub async fn run(
    settings: &Settings,
    args: &[String],
    path: Option<PathBuf>,
    logs: &LogBuffer,
) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("handle SIGINT")?;
    let hangup = signal(SignalKind::hangup()).context("handle SIGHUP")?;
    let node = Arc::new(Node::new(settings, logs, incarnation())?);
    let peers = Arc::new(Peers::bind(settings.beacon_address).await?);
    let listener = front::bind(settings.client_address)?;
    admin::start(&node).await?;
    watch::start(&node);
    let tasks = [
        tokio::spawn(send(Arc::clone(&node), Arc::clone(&peers))),
        tokio::spawn(receive(Arc::clone(&node), Arc::clone(&peers))),
        tokio::spawn(ticker::run(Arc::clone(&node))),
        tokio::spawn(reload::run(Arc::clone(&node), args.to_vec(), path, hangup)),
    ];
    let front = tokio::spawn(front::serve(Arc::clone(&node), listener));
    tracing::info!(event = "started", instance = %settings.instance, domain = %settings.domain,
        clients = %settings.client_address, incarnation = node.incarnation);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop(&node, &peers, front).await;
    for task in tasks {
        task.abort();
    }
    tracing::info!(event = "stopped");
    Ok(())
}

/// Leaves the directory, serves who still comes, and ends when all have their answers.
///
/// Clients keep an address for seconds, and a connection that is closed under a request loses it.
async fn stop(node: &Arc<Node>, peers: &Peers, mut front: tokio::task::JoinHandle<()>) {
    let grace = node.settings().grace;
    tracing::info!(event = "leaving", grace_ms = grace.as_millis());
    node.set_phase(Phase::Leaving);
    for _ in 0..FAREWELLS {
        peers.send_one(node).await;
        sleep(FAREWELL_PAUSE).await;
    }
    sleep(grace.mul_f64(CLOSING).saturating_sub(FAREWELL_PAUSE.saturating_mul(3))).await;
    tracing::info!(event = "closing");
    node.set_phase(Phase::Closing);
    // What has not ended by then is cut by the end of the process.
    if timeout(grace.mul_f64(END - CLOSING), &mut front).await.is_err() {
        tracing::warn!(event = "cut_at_end", connections = node.metrics.connections.get());
    }
}

async fn send(node: Arc<Node>, peers: Arc<Peers>) {
    peers.send(&node).await;
}

async fn receive(node: Arc<Node>, peers: Arc<Peers>) {
    peers.receive(&node).await;
}

/// Returns a number that is higher in every later life of an instance, as far as the machine's time
/// of day goes forward; a life that starts within a step back is heard once its number is passed.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
