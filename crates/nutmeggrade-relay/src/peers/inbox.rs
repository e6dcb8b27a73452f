//! Applies messages received from peers.

use nutmeggrade_core::peer::{FleetBeacon, FleetMessage, InstanceLoad};
use nutmeggrade_wire::kinds::Kind;

use crate::fleet_sync::revision;
use crate::node::{CrashSource, Node};
use crate::tables::lock;
use crate::watch::apply_peer_changes;

/// Counts the bytes of a received message.
pub fn count_received(node: &Node, message: &FleetMessage, length: usize) {
    node.metrics.peer_bytes.with_label_values(&[message.name(), "in"]).inc_by(length as u64);
}

/// Applies a message of a peer.
pub fn apply_message(node: &Node, message: FleetMessage) {
    match message {
        FleetMessage::Beacon(beacon) => apply_heartbeat(node, *beacon),
        FleetMessage::News(batch) => apply_peer_changes(node, batch),
        FleetMessage::Leaving(endpoints) => {
            node.note_leaving(&endpoints);
        }
        FleetMessage::Gone(endpoints) => node.note_unreachable(&endpoints),
        FleetMessage::Stalled(endpoints) => node.note_stalled(&endpoints),
        FleetMessage::Met(contacts) => lock(&node.tables).fleet.add_contacts(&contacts, node.now()),
        FleetMessage::Crashed(crash) => node.note_crash(&crash, CrashSource::Peer),
        FleetMessage::Refuted(refuted) => node.note_refuted(&refuted),
        FleetMessage::Streams(streams) => streams.iter().for_each(|s| node.note_stream(s)),
        FleetMessage::Outcomes(outcomes) => node.add_peer_outcomes(&outcomes),
        FleetMessage::Paces(reports) => node.add_peer_paces(&reports),
        FleetMessage::RateLimits(limits) => node.note_peer_limits(&limits),
        FleetMessage::Rollout(notice) => node.apply_rollout_notices(vec![notice]),
        FleetMessage::RolloutReport(report) => lock(&node.tables).rollouts.take_report(&report),
        FleetMessage::Placed(placed) => apply_placements(node, &placed),
        FleetMessage::Moving(placed) => apply_placements(node, &[placed]),
        // A message is forwarded only once; a nested one would otherwise circulate without end.
        FleetMessage::HandOn(..) => tracing::debug!(event = "handed_on_twice"),
    }
}

fn apply_placements(node: &Node, all: &[InstanceLoad]) {
    let own = &node.settings().instance;
    let now = node.now();
    let mut tables = lock(&node.tables);
    // This instance's own placements come back when they are forwarded through its failure domain.
    for InstanceLoad { instance, placed, waiting } in all.iter().filter(|p| p.instance != *own) {
        tables.dispatcher.load_table.change_peer(instance, placed);
        tables.dispatcher.receive_report(instance, waiting, now);
    }
}

fn apply_heartbeat(node: &Node, beacon: FleetBeacon) {
    let now = node.now();
    {
        let mut tables = lock(&node.tables);
        let was_live = tables.fleet.is_live(&beacon.instance, now);
        if !tables.fleet.receive_heartbeat(&beacon, now) {
            return;
        }
        tables.dispatcher.load_table.set_peer(&beacon.instance, &beacon.placed);
        tables.dispatcher.receive_report(&beacon.instance, &beacon.waiting, now);
        if !was_live {
            tracing::info!(event = "peer_heard", peer = %beacon.instance,
                incarnation = beacon.incarnation);
        }
    }
    for shared in &beacon.crashes {
        node.note_shared_crash(shared);
    }
    node.note_shared_part_crashes(&beacon.part_crashes);
    for kind in Kind::ALL {
        node.read_state.of(kind).note_peer_revision(revision(&beacon.revisions, kind));
    }
    node.apply_rollout_notices(beacon.rollouts);
}
