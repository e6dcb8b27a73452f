//! Applies changes of rollouts and reports them to the peers.

use nutmeggrade_core::peer::FleetMessage;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutNotice;
use nutmeggrade_state::rollout::RolloutTable;

use super::Node;
use crate::tables::lock;

impl Node {
    /// Returns whether this instance follows rollouts.
    pub fn follows_rollouts(&self) -> bool {
        self.settings().exposure.is_some()
    }

    /// Changes the rollout table, and sends changed phases to all peers at once.
    pub fn change_rollouts(
        &self,
        change: impl FnOnce(&mut RolloutTable, Moment) -> Vec<RolloutNotice>,
    ) {
        let now = self.now();
        let changed = change(&mut lock(&self.tables).rollouts, now);
        for notice in &changed {
            self.broadcast(FleetMessage::Rollout(notice.clone()));
        }
        self.apply_phases(&changed);
    }

    /// Applies rollout notices of a peer.
    pub fn apply_rollout_notices(&self, notices: Vec<RolloutNotice>) {
        if notices.is_empty() || !self.follows_rollouts() {
            return;
        }
        let now = self.now();
        let changed: Vec<RolloutNotice> = {
            let rollouts = &mut lock(&self.tables).rollouts;
            notices.into_iter().filter(|notice| rollouts.receive_notice(notice, now)).collect()
        };
        self.apply_phases(&changed);
    }

    /// Logs changed phases, and reroutes new requests and the streams at endpoints of a retired
    /// version.
    fn apply_phases(&self, changed: &[RolloutNotice]) {
        for RolloutNotice { order, phase, age, .. } in changed {
            let gauge = self.metrics.rollout_phase.with_label_values(&[order.service.as_str()]);
            gauge.set(i64::from(u8::from(*phase)));
            let (version, phase) = (&order.id.version, phase.as_str());
            let age_ms = age.as_millis();
            tracing::info!(event = "rollout", service = %order.service, %version, phase, age_ms);
        }
        if !changed.is_empty() {
            self.refresh();
            self.routing_changes.send_modify(|n| *n += 1);
        }
    }
}
