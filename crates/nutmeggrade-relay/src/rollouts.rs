//! Judges roll-outs, reports what was counted, and writes their state to the store.

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

/// Time between two looks at the roll-outs.
const PERIOD: Duration = Duration::from_millis(100);

/// Starts everything, where roll-outs are followed.
pub fn start(node: &Arc<Node>, peers: &Arc<Peers>) -> Vec<JoinHandle<()>> {
    if !node.follows_rollouts() {
        return Vec::new();
    }
    vec![
        tokio::spawn(watch(Arc::clone(node), Arc::clone(peers))),
        tokio::spawn(writing::run(Arc::clone(node))),
    ]
}

async fn watch(node: Arc<Node>, peers: Arc<Peers>) {
    let (mut judges, mut reporter) = (Judges::new(), Reporter::new());
    loop {
        sleep(PERIOD).await;
        judges.look(&node);
        reporter.look(&node, &peers).await;
    }
}
