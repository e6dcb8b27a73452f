//! Reports what this instance counted of roll-outs to those who judge them.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::FleetMessage;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutId, RolloutPhase, RolloutReport};

use super::surroundings::Surroundings;
use crate::node::Node;
use crate::peers::Peers;
use crate::tables::lock;

/// Longest time between two reports while nothing new was learned of the new version.
const IDLE: Duration = Duration::from_secs(1);

/// What the last report of a service said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reported {
    at: Moment,
    answers: u32,
    exposed: u32,
    running: u32,
    phase: RolloutPhase,
}

impl Reported {
    fn new(report: &RolloutReport, now: Moment) -> Self {
        Self {
            at: now,
            answers: report.tally.all_routes().new.count(),
            exposed: report.tally.exposed,
            running: report.running,
            phase: report.phase,
        }
    }

    /// Says whether another report tells anything that can't wait.
    fn is_old(&self, fresh: &Self) -> bool {
        let is_settling = fresh.phase.is_switched() && fresh.running != self.running;
        (self.answers, self.exposed, self.phase) != (fresh.answers, fresh.exposed, fresh.phase)
            || is_settling
            || fresh.at.since(self.at) >= IDLE
    }
}

/// Reports what this instance counted of roll-outs to those who judge them.
#[derive(Debug, Default)]
pub struct Reporter(BTreeMap<ServiceId, Reported>);

impl Reporter {
    /// Makes a reporter that has told nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends the reports that are due.
    pub async fn look(&mut self, node: &Node, peers: &Peers) {
        let now = node.now();
        let reports = reports(node, now);
        self.0.retain(|service, _| reports.iter().any(|r| r.service == *service));
        let judges = lock(&node.tables).fleet.judges(now);
        for report in reports {
            let fresh = Reported::new(&report, now);
            if self.0.get(&report.service).is_some_and(|last| !last.is_old(&fresh)) {
                continue;
            }
            self.0.insert(report.service.clone(), fresh);
            peers.send_to(node, &FleetMessage::RolloutReport(report), &judges).await;
        }
    }
}

fn reports(node: &Node, now: Moment) -> Vec<RolloutReport> {
    let (map, settings) = (node.map(), node.settings());
    let tables = &lock(&node.tables);
    let report = |(service, id, phase): (&ServiceId, &RolloutId, RolloutPhase)| {
        let seen = Surroundings::new(tables, &map, service, &id.version, now);
        RolloutReport {
            instance: settings.instance.clone(),
            incarnation: node.incarnation,
            service: service.clone(),
            id: id.clone(),
            phase,
            running: seen.own_running,
            tally: tables.rollouts.own(service).cloned().unwrap_or_default(),
        }
    };
    tables.rollouts.open().map(report).collect()
}
