//! Starting and stopping an instance.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use nutmeggrade_core::peer::Entry;
use nutmeggrade_platform::{HttpPlatform, Platform};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::settings::Settings;
use crate::tables::lock;
use crate::{admin, front, tasks};

/// Time between looks at calls that are not settled.
const SETTLE_LOOK: Duration = Duration::from_millis(20);

/// Serves until SIGTERM or SIGINT, then stops gracefully.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("handle SIGINT")?;
    let callers = TcpListener::bind(settings.caller_address).await.context("bind callers")?;
    let admins = TcpListener::bind(settings.admin_address).await.context("bind admin")?;
    let peers = Arc::new(Peers::new(settings.peer_address, &settings.peer_key)?);
    let entry = Entry {
        instance: settings.instance.clone(),
        incarnation: incarnation(),
        domain: settings.domain.clone(),
        caller_address: callers.local_addr().context("caller address")?,
        peer_address: peers.address()?,
        admin_address: admins.local_addr().context("admin address")?,
    };
    let platform = HttpPlatform::new(settings.platform, settings.platform_wait);
    let node = Arc::new(Node::new(settings, &entry, platform)?);
    announce(&entry);
    tasks::start(&node, &peers);
    let front = tokio::spawn(front::serve(Arc::clone(&node), callers));
    tokio::spawn(admin::serve(Arc::clone(&node), admins));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop(&node, front).await;
    peers.close();
    Ok(())
}

/// Stops in the order that cuts nobody off: out of the entries first, then no new work after the
/// time that callers keep an entry, then streams finish, then the rest is told where to resume.
async fn stop<P: Platform>(node: &Arc<Node<P>>, front: tokio::task::JoinHandle<()>) {
    tracing::info!(event = "leaving", instance = %node.entry.instance);
    node.set_phase(Phase::Leaving);
    sleep(node.settings.entry_keep).await;
    node.set_phase(Phase::Draining);
    let mut front = front;
    let drained = timeout(node.settings.drain, &mut front).await.is_ok();
    if !drained {
        node.set_phase(Phase::Closing);
        let ended = timeout(node.settings.stall, &mut front).await;
        tracing::warn!(event = "drain_cut", ended = ended.is_ok());
    }
    settle_calls(node).await;
    tasks::unregister(node).await;
    tracing::info!(event = "stopped", instance = %node.entry.instance, drained);
}

/// Waits until the platform knows how every non-idempotent call ended, so that a retry elsewhere
/// gets the recorded answer; bounded, since an outage of the platform may outlast the stop.
async fn settle_calls<P: Platform>(node: &Node<P>) {
    let settled = async {
        while lock(&node.tables.intents).open() > 0 {
            sleep(SETTLE_LOOK).await;
        }
    };
    if timeout(node.settings.drain, settled).await.is_err() {
        tracing::warn!(event = "calls_not_settled", open = lock(&node.tables.intents).open());
    }
}

/// Returns a number that is higher in every later life of an instance.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Prints the addresses for whoever started the process, since the system may have chosen them.
fn announce(entry: &Entry) {
    println!(
        "listening callers={} admin={} peers={}",
        entry.caller_address, entry.admin_address, entry.peer_address
    );
    tracing::info!(
        event = "started",
        instance = %entry.instance,
        domain = %entry.domain,
        callers = %entry.caller_address,
        admin = %entry.admin_address,
        peers = %entry.peer_address
    );
}
