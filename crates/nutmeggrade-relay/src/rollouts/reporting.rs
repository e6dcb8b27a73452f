//! Reports what this instance counted of rollouts to the instances that judge them.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::FleetMessage;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutId, RolloutReport};
use nutmeggrade_state::rollout::LastReport;

use crate::node::Node;
use crate::peers::Peers;
use crate::tables::lock;

/// Reports what this instance counted of rollouts to the instances that judge them.
#[derive(Debug, Default)]
pub struct Reporter(BTreeMap<ServiceId, LastReport>);

impl Reporter {
    /// Creates a reporter that has sent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends the reports that are due.
    pub async fn send_due(&mut self, node: &Node, peers: &Peers) {
        let now = node.now();
        let reports = reports(node, now);
        self.0.retain(|service, _| reports.iter().any(|r| r.service == *service));
        let judges = lock(&node.tables).fleet.judges(now);
        for report in reports {
            let current = LastReport::new(&report, now);
            if self.0.get(&report.service).is_some_and(|last| !last.is_outdated_by(&current)) {
                continue;
            }
            self.0.insert(report.service.clone(), current);
            peers.send_to(node, &FleetMessage::RolloutReport(report), &judges).await;
        }
    }
}

fn reports(node: &Node, now: Moment) -> Vec<RolloutReport> {
    let (map, settings) = (node.map(), node.settings());
    let own = (&settings.instance, node.incarnation);
    let tables = &lock(&node.tables);
    let report = |(service, id): (&ServiceId, &RolloutId)| {
        let running = tables.service_load(&map, (service, &id.version), now).own_running;
        tables.rollouts.report(service, own, running)
    };
    tables.rollouts.open_rollouts().filter_map(report).collect()
}
