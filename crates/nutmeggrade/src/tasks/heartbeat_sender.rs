//! Sends this instance's heartbeats.

use std::sync::Arc;

use nutmeggrade_core::peer::{Beacon, InstanceEntry};
use nutmeggrade_platform::Platform;
use tokio::time::timeout;

use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>, peers: Arc<Peers>) {
    let mut sequence = 0;
    let mut phase = node.watch_phase();
    loop {
        sequence += 1;
        let beacon = beacon(&node, sequence);
        match peers.publish(&beacon) {
            Ok(bytes) => node.metrics.peer_bytes.with_label_values(&["out"]).inc_by(bytes),
            Err(error) => tracing::warn!(event = "beacon_failed", error = format!("{error:#}")),
        }
        update_peer_state(&node);
        // A planned stop is announced at once, so that peers no longer list this address, and so is
        // the crash of an engine.
        let urgent = async {
            tokio::select! {
                changed = phase.changed() => drop(changed),
                () = node.heartbeat_wakeup.notified() => {}
            }
        };
        drop(timeout(node.settings.beacon, urgent).await);
    }
}

fn beacon<P: Platform>(node: &Node<P>, sequence: u64) -> Beacon {
    let now = node.now();
    let config = lock(&node.tables.config).version();
    let echoes = {
        let mut members = lock(&node.tables.members);
        members.note_sent(sequence, now);
        members.echoes()
    };
    let in_flight = lock(&node.tables.scheduler).in_flight();
    let platform = lock(&node.tables.fence).platform().map(|at| now.since(at));
    // Peers list every instance that is not leaving as an entry. An instance that is not ready, at
    // its start or for another reason, would refuse the callers sent to it.
    let leaving = node.phase() > Phase::Serving || node.check_ready().is_err();
    let InstanceEntry { instance, incarnation, .. } = node.entry.clone();
    let entry = Beacon::includes_introduction(sequence).then(|| node.entry.clone());
    let suspects = lock(&node.tables.suspects).report(now);
    let resumed = lock(&node.tables.orphans).recently_resumed(now);
    Beacon {
        instance,
        incarnation,
        entry,
        sequence,
        config,
        leaving,
        in_flight,
        platform,
        echoes,
        resumed,
        suspects,
    }
}

fn update_peer_state<P: Platform>(node: &Arc<Node<P>>) {
    let now = node.now();
    let (live, in_flight) = {
        let members = lock(&node.tables.members);
        (members.live(now).len(), members.in_flight(now))
    };
    node.metrics.peers.set(i64::try_from(live).unwrap_or(i64::MAX));
    let epoch = lock(&node.tables.rights).epoch();
    node.metrics.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    let is_closed = lock(&node.tables.fence).is_closed(now);
    node.metrics.fenced.set(i64::from(is_closed));
    lock(&node.tables.scheduler).set_peers(&in_flight, now);
    node.sync_engines();
}
