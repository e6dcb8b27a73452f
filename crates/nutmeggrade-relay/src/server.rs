//! The process around an instance: its signals, its settings, its end.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::instance::Instance;
use crate::logs::LogBuffer;
use crate::reload;
use crate::settings::Settings;

/// The signals that an instance handles.
///
/// A signal that comes before its handler is set ends the process: a settings file that changes just
/// after a start would look like a crash. So they are caught before anything else is done, and seen to
/// once the instance stands.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hangup: Signal,
}

impl Signals {
    /// Catches them from now on. Has to be called inside a runtime.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be set.
    pub fn catch() -> anyhow::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate()).context("handle SIGTERM")?,
            int: signal(SignalKind::interrupt()).context("handle SIGINT")?,
            hangup: signal(SignalKind::hangup()).context("handle SIGHUP")?,
        })
    }
}

/// Serves until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
///
/// Fails if a socket can't be opened.
pub async fn run(
    settings: &Settings,
    args: &[String],
    path: Option<PathBuf>,
    logs: &LogBuffer,
    signals: Signals,
) -> anyhow::Result<()> {
    let Signals { mut term, mut int, hangup } = signals;
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
