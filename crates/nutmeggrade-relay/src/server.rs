//! The process around an instance: its signals, its settings, its end.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

use crate::instance::Instance;
use crate::logs::LogBuffer;
use crate::reload;
use crate::settings::Settings;

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
    let instance = Instance::start(settings, logs, incarnation()).await?;
    let reloading = tokio::spawn(reload::run(instance.node(), args.to_vec(), path, hangup));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    instance.stop().await;
    reloading.abort();
    Ok(())
}

/// Returns a number that is higher in every later life of an instance, as far as the machine's time
/// of day goes forward; a life that starts within a step back is heard once the one before it is
/// silent.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
