//! Reloads settings while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::node::Node;
use crate::settings::Settings;

/// Interval between checks of the settings file, which may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed settings for as long as the process runs.
pub async fn run(node: Arc<Node>, args: Vec<String>, path: Option<PathBuf>, mut hangup: Signal) {
    let mut last = node.settings().lines();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(FILE_CHECK_INTERVAL), if path.is_some() => false,
        };
        match Settings::load(&args, path.as_ref()) {
            Ok(settings) => {
                let lines = settings.lines();
                if signalled || lines != last {
                    tracing::info!(event = "reloaded", signalled, changed = lines != last);
                    last = lines;
                    node.set_settings(settings);
                    node.refresh();
                }
            }
            Err(errors) => {
                let first = errors.first().map(ToString::to_string).unwrap_or_default();
                tracing::error!(event = "reload_failed", mistakes = errors.len(), first);
            }
        }
    }
}
