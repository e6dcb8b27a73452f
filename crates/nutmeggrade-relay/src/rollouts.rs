//! Decides how far rollouts go, reports outcomes to the deciding instances, and writes the state of
//! rollouts to the store.

mod judging;
mod reporting;
mod writing;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use self::judging::Judges;
use self::reporting::Reporter;
use crate::node::Node;
use crate::peers::Peers;

/// Interval between two checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the tasks if rollouts are followed.
pub fn start(node: &Arc<Node>, peers: &Arc<Peers>) -> Vec<JoinHandle<()>> {
    if !node.follows_rollouts() {
        return Vec::new();
    }
    vec![
        tokio::spawn(check_rollouts(Arc::clone(node), Arc::clone(peers))),
        tokio::spawn(writing::run(Arc::clone(node))),
    ]
}

async fn check_rollouts(node: Arc<Node>, peers: Arc<Peers>) {
    let (mut judges, mut reporter) = (Judges::new(), Reporter::new());
    loop {
        sleep(CHECK_INTERVAL).await;
        judges.decide_all(&node);
        reporter.send_due(&node, &peers).await;
    }
}
