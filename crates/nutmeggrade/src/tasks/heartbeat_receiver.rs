//! Receives the heartbeats of peers.

use nutmeggrade_core::peer::Beacon;
use nutmeggrade_platform::Platform;

use crate::node::Node;
use crate::tables::lock;

/// Receives heartbeats until the sockets are closed; runs on a dedicated thread.
pub fn run<P: Platform>(node: &Node<P>) {
    while let Some((size, result)) = node.peers.next() {
        node.metrics.peer_bytes.with_label_values(&["in"]).inc_by(size as u64);
        match result {
            Ok(beacon) => process_heartbeat(node, &beacon),
            Err(reason) => {
                let reason = reason.to_string();
                node.metrics.dropped_messages.with_label_values(&[reason.as_str()]).inc();
            }
        }
    }
}

fn process_heartbeat<P: Platform>(node: &Node<P>, beacon: &Beacon) {
    let now = node.now();
    if let Some(entry) = &beacon.entry {
        node.add_peer(entry);
    }
    let instance_count = lock(&node.tables.rights).assignment().map_or(0, |a| a.members.len());
    let (is_new, quorum_start) = {
        let mut members = lock(&node.tables.members);
        let is_new = members.receive_heartbeat(beacon, now);
        // Without an assignment, the quorum is based on all known instances.
        let instance_count =
            if instance_count == 0 { members.instance_count() } else { instance_count };
        (is_new, members.quorum_since(instance_count))
    };
    if is_new {
        lock(&node.tables.suspects).apply_report(&beacon.instance, &beacon.suspects, now);
        lock(&node.tables.orphans).remove_resumed(&beacon.resumed);
        let is_behind = lock(&node.tables.config).note(beacon.config);
        if !is_behind {
            lock(&node.tables.fence).record_peer_contact(quorum_start);
        }
    }
}
