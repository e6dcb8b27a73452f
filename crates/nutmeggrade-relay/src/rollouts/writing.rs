//! Writes the state of roll-outs to the store, on the instance whose turn it is.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_state::rollout::StateChange;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::rollout;
use nutmeggrade_wire::store::StatusWrite;
use tokio::time::sleep;

use super::PERIOD;
use crate::node::Node;
use crate::tables::lock;
use crate::watch::StoreCalls;

/// Pause after a write that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// Writes states for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(PERIOD).await;
        for change in due(&node) {
            write(&node, &change).await;
        }
    }
}

/// Lists the states that this instance is to write.
fn due(node: &Node) -> Vec<StateChange> {
    let tables = lock(&node.tables);
    let is_away = node.follow.track(Kind::Rollouts).is_away();
    if is_away || !tables.fleet.is_first_reader(node.now()) {
        return Vec::new();
    }
    tables.rollouts.unwritten_states()
}

/// Writes one state, and takes the object as the store holds it then. The condition on its revision keeps a
/// write whose answer was lost, or which is done seconds later, from undoing another one.
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
            sleep(FAILED_PAUSE).await;
            return;
        }
    };
    tracing::info!(event = "rollout_written", %service, %version, state = state.as_str(), end);
    node.change_rollouts(|rollouts, now| match object.as_ref().map(rollout::read) {
        Some(Ok(stored)) => rollouts.put(&stored, now).into_iter().collect(),
        Some(Err(_)) | None => rollouts.remove(service, now).into_iter().collect(),
    });
}
