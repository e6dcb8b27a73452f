//! Process of an instance: signals, settings and shutdown.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::instance::Instance;
use crate::logs::LogBuffer;
use crate::reload;
use crate::settings::Settings;

/// Signals that an instance handles.
///
/// A signal that arrives before its handler is installed ends the process: a settings file that
/// changes just after a start would look like a crash. So the handlers are installed before
/// anything else, and the signals are processed once the instance runs.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called inside a runtime.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be installed.
    pub fn install() -> anyhow::Result<Self> {
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

/// Returns a number that is higher in every later run of an instance, provided that the wall clock
/// doesn't step back. After such a step, peers accept the new run once the earlier one counts as
/// silent.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
