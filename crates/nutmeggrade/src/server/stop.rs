//! Planned stop of an instance without interrupted requests.

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

/// Extra time for a busy machine to close the last connections.
const CLOSE_MARGIN: Duration = Duration::from_secs(2);

/// Interval between checks for calls that are not settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops an instance: unlists it, refuses new work, lets streams finish, and refers the remaining
/// callers to other entries. A second Ctrl-C skips to the last step; a second SIGTERM has no
/// effect, since supervisors send it to a process and to its group.
pub async fn stop<P: Platform>(
    node: &Arc<Node<P>>,
    mut front: JoinHandle<()>,
    interrupt: &mut Signal,
) {
    tracing::info!(event = "leaving", instance = %node.entry.instance);
    let drained = tokio::select! {
        drained = drain(node, &mut front) => drained,
        _ = interrupt.recv() => false,
    };
    if !drained {
        let open = node.metrics.streams.get();
        tracing::warn!(event = "drain_cut", instance = %node.entry.instance, open);
        node.set_phase(Phase::Closing);
        let ended = timeout(close_timeout(node), front).await.is_ok();
        invariant::check(ended, "planned_stop_cuts_nobody");
    }
    settle_calls(node).await;
    tasks::unregister(node).await;
    node.set_phase(Phase::Stopped);
    tracing::info!(event = "stopped", instance = %node.entry.instance, drained);
}

/// Unlists the instance, serves callers that still have its address, then waits for open requests;
/// returns whether all of them ended.
///
/// A peer that has not received the change lists this instance until it counts it as silent, and a
/// caller uses a listed entry for the time `entry_ttl`. An instance that stopped accepting earlier
/// would refuse valid requests.
async fn drain<P: Platform>(node: &Arc<Node<P>>, front: &mut JoinHandle<()>) -> bool {
    let leaving_time = node.settings.silence + node.settings.entry_ttl;
    let longest = leaving_time + node.settings.drain + answer_time(node);
    node.leave(node.now().after(longest));
    sleep(leaving_time).await;
    node.set_phase(Phase::Draining);
    timeout(node.settings.drain, front).await.is_ok()
}

/// Returns the time in which every connection ends once streams are closed: running calls end by
/// their deadline, and connections of callers that do not read are closed.
fn close_timeout<P: Platform>(node: &Node<P>) -> Duration {
    answer_time(node) + CLOSE_MARGIN
}

/// Returns the time in which running calls are answered and their callers have read the answers.
fn answer_time<P: Platform>(node: &Node<P>) -> Duration {
    let config = lock(&node.tables.config).current();
    let preset = config.as_ref().and_then(|c| c.preset());
    let call_deadline = preset.map(|p| p.limits.call_deadline).unwrap_or_default();
    call_deadline.max(node.settings.stall) + node.settings.write_wait
}

/// Waits until the outcomes of all non-idempotent calls are recorded, so that a retry at another
/// instance gets the recorded response. Bounded, since an outage of the platform may outlast the
/// stop.
async fn settle_calls<P: Platform>(node: &Node<P>) {
    let settled = async {
        while lock(&node.tables.intents).open_count() > 0 {
            sleep(SETTLE_POLL_INTERVAL).await;
        }
    };
    if timeout(node.settings.drain, settled).await.is_err() {
        tracing::warn!(event = "calls_not_settled", open = lock(&node.tables.intents).open_count());
    }
}
