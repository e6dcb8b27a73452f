//! Starting and stopping an instance.

mod stop;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use nutmeggrade_core::peer::Entry;
use nutmeggrade_platform::HttpPlatform;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::node::Node;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{admin, front, tasks};

/// Serves until SIGTERM or SIGINT, then stops gracefully.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("handle SIGINT")?;
    let callers = front::bind(settings.caller_address).context("callers")?;
    let admins = front::bind(settings.admin_address).context("admin")?;
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
    let node = Arc::new(Node::new(settings, &entry, platform, &peers)?);
    announce(&entry);
    tasks::start(&node, &peers);
    let front = tokio::spawn(front::serve(Arc::clone(&node), callers));
    let admin = tokio::spawn(admin::serve(Arc::clone(&node), admins));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop::stop(&node, front, &mut int).await;
    // Operators and probes that are asking now get their answer.
    drop(timeout(settings.stall, admin).await);
    peers.close();
    Ok(())
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
