//! Starts and stops an instance.

mod stop;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_platform::HttpPlatform;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::node::Node;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::{admin, front, tasks};

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut sigterm = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("handle SIGINT")?;
    let caller_socket = front::bind(settings.caller_address).context("caller listener")?;
    let admin_socket = front::bind(settings.admin_address).context("admin listener")?;
    let peers = Arc::new(Peers::new(settings.peer_address, &settings.peer_key)?);
    let entry = InstanceEntry {
        instance: settings.instance.clone(),
        incarnation: incarnation(),
        domain: settings.domain.clone(),
        caller_address: caller_socket.local_addr().context("caller address")?,
        peer_address: peers.address()?,
        admin_address: admin_socket.local_addr().context("admin address")?,
    };
    let platform = HttpPlatform::new(settings.platform, settings.platform_wait);
    let node = Arc::new(Node::new(settings, &entry, platform, &peers)?);
    print_addresses(&entry);
    tasks::start(&node, &peers);
    let front = tokio::spawn(front::serve(Arc::clone(&node), caller_socket));
    let admin = tokio::spawn(admin::serve(Arc::clone(&node), admin_socket));
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    stop::stop(&node, front, &mut sigint).await;
    // Open requests of operators and probes get their responses.
    drop(timeout(settings.stall, admin).await);
    peers.close();
    Ok(())
}

/// Returns a number that increases with every start of an instance.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Prints the listening addresses for the parent process, since the system may have chosen the
/// ports.
fn print_addresses(entry: &InstanceEntry) {
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
