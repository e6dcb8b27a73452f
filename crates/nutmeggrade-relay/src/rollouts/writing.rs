//! Writes the state of rollouts to the store, on the one instance that is responsible.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_state::rollout::StateChange;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::rollout;
use nutmeggrade_wire::store::StatusWrite;
use tokio::time::sleep;

use super::CHECK_INTERVAL;
use crate::node::Node;
use crate::tables::lock;
use crate::watch::StoreCalls;

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes states for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        for change in pending(&node) {
            write(&node, &change).await;
        }
    }
}

/// Lists the states that this instance has to write.
fn pending(node: &Node) -> Vec<StateChange> {
    let tables = lock(&node.tables);
    let is_unavailable = node.read_state.of(Kind::Rollouts).is_unavailable();
    if is_unavailable || !tables.fleet.is_first_reader(node.now()) {
        return Vec::new();
    }
    tables.rollouts.unwritten_states()
}

/// Writes one state, and applies the object that the store then holds. The condition on its
/// revision keeps a write whose response was lost, or which takes effect seconds later, from
/// undoing another one.
async fn write(node: &Node, change: &StateChange) {
    let StateChange { service, version, revision, state } = change;
    let status = rollout::write(version, *state);
    let calls = StoreCalls::new(node);
    let written = calls.write_status(Kind::Rollouts, service.as_str(), *revision, &status).await;
    let (end, object) = match written {
        Ok(StatusWrite::Written(object)) => ("written", Some(object)),
        Ok(StatusWrite::Conflict(object)) => ("conflict", Some(object)),
        Ok(StatusWrite::NoObject) => ("no_object", None),
        Err(error) => {
            tracing::warn!(event = "rollout_unwritten", %service, %version,
                state = state.as_str(), %error);
            sleep(RETRY_DELAY).await;
            return;
        }
    };
    tracing::info!(event = "rollout_written", %service, %version, state = state.as_str(), end);
    node.change_rollouts(|rollouts, now| match object.as_ref().map(rollout::read) {
        Some(Ok(stored)) => rollouts.put(&stored, now).into_iter().collect(),
        Some(Err(_)) | None => rollouts.remove(service, now).into_iter().collect(),
    });
}
