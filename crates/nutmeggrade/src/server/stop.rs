//! A planned stop that cuts nobody off.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_platform::Platform;
use nutmeggrade_state::invariant;
use tokio::signal::unix::Signal;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::node::{Node, Phase};
use crate::tables::lock;
use crate::tasks;

/// Time beyond all others for a busy machine to close the last connections.
const SLACK: Duration = Duration::from_secs(2);

/// Time between looks at calls that are not settled.
const SETTLE_LOOK: Duration = Duration::from_millis(20);

/// Stops an instance: out of the entries, then nothing new, then streams finish, then the rest is
/// told where to resume. A second Ctrl-C skips to the last; a second SIGTERM changes nothing, since
/// supervisors send it to a process and to its group.
pub async fn stop<P: Platform>(node: &Arc<Node<P>>, mut front: JoinHandle<()>, hurry: &mut Signal) {
    tracing::info!(event = "leaving", instance = %node.entry.instance);
    let drained = tokio::select! {
        drained = drain(node, &mut front) => drained,
        _ = hurry.recv() => false,
    };
    if !drained {
        let open = node.metrics.streams.get();
        tracing::warn!(event = "drain_cut", instance = %node.entry.instance, open);
        node.set_phase(Phase::Closing);
        let ended = timeout(last_wait(node), front).await.is_ok();
        invariant::check(ended, "planned_stop_cuts_nobody");
    }
    settle_calls(node).await;
    tasks::unregister(node).await;
    node.set_phase(Phase::Stopped);
    tracing::info!(event = "stopped", instance = %node.entry.instance, drained);
}

/// Leaves the entries, serves whoever kept an entry, then waits for what is open; says whether all
/// of it ended.
///
/// A caller may have got this address from a peer that had not yet heard of the leaving, at the
/// latest when it counted this instance as silent, and keeps it from then on. An instance that stops
/// accepting earlier refuses callers that did nothing wrong.
async fn drain<P: Platform>(node: &Arc<Node<P>>, front: &mut JoinHandle<()>) -> bool {
    node.set_phase(Phase::Leaving);
    sleep(node.settings.silence + node.settings.entry_keep).await;
    node.set_phase(Phase::Draining);
    timeout(node.settings.drain, front).await.is_ok()
}

/// Returns the time in which every connection ends once streams are told where to resume: a call
/// that runs has its deadline, and a caller that does not read is cut.
fn last_wait<P: Platform>(node: &Node<P>) -> Duration {
    let config = lock(&node.tables.config).current();
    let preset = config.as_ref().and_then(|c| c.preset());
    let calls = preset.map(|p| p.limits.call_deadline).unwrap_or_default();
    calls.max(node.settings.stall) + node.settings.write_wait + SLACK
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
