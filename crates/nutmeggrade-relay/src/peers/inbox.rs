//! Takes over what peers told.

use nutmeggrade_core::peer::{EndpointUpdateBatch, FleetBeacon, FleetMessage, InstanceLoad};
use nutmeggrade_wire::kinds::Kind;

use crate::fleet_sync::revision;
use crate::node::Node;
use crate::tables::lock;
use crate::watch::endpoint_changes;

/// Counts the bytes of a message that came.
pub fn count_in(node: &Node, message: &FleetMessage, length: usize) {
    node.metrics.peer_bytes.with_label_values(&[message.name(), "in"]).inc_by(length as u64);
}

/// Takes over what a peer told.
pub fn take_message(node: &Node, message: FleetMessage) {
    match message {
        FleetMessage::Beacon(beacon) => take(node, beacon),
        FleetMessage::News(news) => take_news(node, &news),
        FleetMessage::Leaving(endpoints) => node.note_leaving(&endpoints),
        FleetMessage::Gone(endpoints) => node.note_gone(&endpoints),
        FleetMessage::Met(others) => lock(&node.tables).fleet.meet_all(&others, node.now()),
        FleetMessage::Crashed(crashed) => lock(&node.tables).crashes.note(&crashed, node.now()),
        FleetMessage::Outcomes(outcomes) => node.note_outcomes(&outcomes),
        FleetMessage::Rollout(notice) => node.hear_rollouts(vec![notice]),
        FleetMessage::RolloutReport(report) => lock(&node.tables).rollouts.take_report(&report),
        FleetMessage::Placed(placed) => take_placed(node, &placed),
        FleetMessage::Moving(placed) => take_placed(node, &[placed]),
        // Handed on once is enough; who sends it twice wants it to go round for ever.
        FleetMessage::HandOn(..) => tracing::debug!(event = "handed_on_twice"),
    }
}

fn take_placed(node: &Node, all: &[InstanceLoad]) {
    let own = &node.settings().instance;
    let mut tables = lock(&node.tables);
    // What this instance told goes round its whole failure domain.
    for InstanceLoad { instance, placed } in all.iter().filter(|p| p.instance != *own) {
        tables.dispatcher.book.change_peer(instance, placed);
    }
}

fn take(node: &Node, beacon: FleetBeacon) {
    let now = node.now();
    {
        let mut tables = lock(&node.tables);
        let was_live = tables.fleet.is_live(&beacon.instance, now);
        if !tables.fleet.hear(&beacon, now) {
            return;
        }
        tables.dispatcher.book.set_peer(&beacon.instance, &beacon.placed);
        if !was_live {
            tracing::info!(event = "peer_heard", peer = %beacon.instance,
                incarnation = beacon.incarnation);
        }
    }
    for kind in Kind::ALL {
        node.follow.track(kind).hint(revision(&beacon.revisions, kind));
    }
    node.hear_rollouts(beacon.rollouts);
}

/// Takes changes of endpoints that a peer has read.
///
/// Whoever has not read up to their beginning would miss what was before, so it asks the store.
fn take_news(node: &Node, news: &EndpointUpdateBatch) {
    let track = node.follow.track(Kind::Endpoints);
    let read = track.read();
    if read >= news.revision {
        return;
    }
    if read < news.since || !track.is_known() {
        track.hint(news.revision);
        return;
    }
    endpoint_changes(node, &news.changes, news.lapses);
    track.note(news.revision, news.revision);
}
