//! Takes peers' heartbeats.

use nutmeggrade_core::peer::Beacon;
use nutmeggrade_platform::Platform;

use crate::node::Node;
use crate::tables::lock;

/// Takes heartbeats for as long as the sockets are open; runs on a thread of its own.
pub fn run<P: Platform>(node: &Node<P>) {
    while let Some((size, heard)) = node.peers.next() {
        node.metrics.peer_bytes.with_label_values(&["in"]).inc_by(size as u64);
        match heard {
            Ok(beacon) => take(node, &beacon),
            Err(reason) => {
                let reason = reason.to_string();
                node.metrics.dropped.with_label_values(&[reason.as_str()]).inc();
            }
        }
    }
}

fn take<P: Platform>(node: &Node<P>, beacon: &Beacon) {
    let now = node.now();
    if let Some(entry) = &beacon.entry {
        node.meet(entry);
    }
    let size = lock(&node.tables.rights).assignment().map_or(0, |a| a.members.len());
    let (fresh, together) = {
        let mut members = lock(&node.tables.members);
        let fresh = members.hear(beacon, now);
        // Without an assignment all instances that are known count.
        let size = if size == 0 { members.known() } else { size };
        (fresh, members.quorum_since(size))
    };
    if fresh {
        lock(&node.tables.suspects).apply_report(&beacon.instance, &beacon.suspects, now);
        lock(&node.tables.orphans).remove_resumed(&beacon.resumed);
        let is_behind = lock(&node.tables.config).note(beacon.config);
        if !is_behind {
            lock(&node.tables.fence).record_peer_contact(together);
        }
    }
}
