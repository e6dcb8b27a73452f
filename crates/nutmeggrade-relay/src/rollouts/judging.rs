//! Decides how far rollouts go, on the one instance that is responsible.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutId, RolloutNotice};
use nutmeggrade_core::routing::RouteMap;
use nutmeggrade_policy::rollout::{ExposureBound, Judge, RolloutDecision, RolloutInputs, Verdict};

use crate::node::{Node, Phase};
use crate::tables::{Tables, lock};

/// Judges of the rollouts that this instance decides.
///
/// The first instance in the order of readers decides. For a moment two instances may both act as
/// the first; as phases only advance, and the store accepts a state only at the revision that its
/// writer has read, both arrive at the same result.
#[derive(Debug, Default)]
pub struct Judges {
    judges: BTreeMap<(ServiceId, RolloutId), Judge>,
    /// When this instance became responsible.
    since: Option<Moment>,
}

impl Judges {
    /// Creates an empty set of judges.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides the phase of each open rollout if this instance is responsible.
    pub fn decide_all(&mut self, node: &Node) {
        let Some(bound) = node.settings().exposure else { return };
        let (now, map) = (node.now(), node.map());
        let is_serving = node.phase() == Phase::Serving;
        let mut changed = Vec::new();
        {
            let tables = &mut lock(&node.tables);
            if !is_serving || !tables.fleet.is_judge(now) {
                self.judges.clear();
                self.since = None;
                tables.rollouts.stop_granting();
                return;
            }
            let open = tables.rollouts.open_rollouts();
            let open: Vec<_> = open.map(|(service, id)| (service.clone(), id.clone())).collect();
            self.judges.retain(|order, _| open.contains(order));
            for order in open {
                changed.extend(self.decide(&order, bound, tables, &map, now));
            }
        }
        if !changed.is_empty() {
            node.change_rollouts(|_, _| changed);
        }
    }

    fn decide(
        &mut self,
        (service, id): &(ServiceId, RolloutId),
        bound: ExposureBound,
        tables: &mut Tables,
        map: &RouteMap,
        now: Moment,
    ) -> Option<RolloutNotice> {
        let since = *self.since.get_or_insert(now);
        let service_load = tables.service_load(map, (service, &id.version), now);
        let view = tables.rollouts.view(service, now)?;
        let members: Vec<InstanceId> = tables.fleet.members(now).cloned().collect();
        let inputs = RolloutInputs {
            age: view.age,
            duration: view.duration,
            phase: view.phase,
            tally: view.tally,
            capacity: service_load.capacity,
            generations: service_load.generations,
            has_quorum: tables.fleet.has_quorum(since, now),
            is_clear: tables.rollouts.is_clear(service, service_load.own_running, members.iter()),
        };
        let judge =
            self.judges.entry((service.clone(), id.clone())).or_insert_with(|| Judge::new(bound));
        let decision = judge.decide(&inputs);
        if decision.phase != view.phase {
            log_decision(service, id, &inputs, &decision);
        }
        tables.rollouts.apply_decision(service, &decision, now)
    }
}

fn log_decision(
    service: &ServiceId,
    id: &RolloutId,
    inputs: &RolloutInputs,
    decision: &RolloutDecision,
) {
    let totals = inputs.tally.all_routes();
    let (route, complaint) = match &decision.verdict {
        Verdict::Bad { route, complaint } => (route.as_str(), complaint.to_string()),
        _ => ("", String::new()),
    };
    tracing::info!(event = "rollout_decided", %service, version = %id.version,
        phase = decision.phase.as_str(), why = decision.why, verdict = decision.verdict.as_str(),
        route, complaint, age_ms = inputs.age.as_millis(),
        duration_ms = inputs.duration.as_millis(), requests = inputs.tally.requests,
        exposed = inputs.tally.exposed, answers = totals.new.count(),
        failures = totals.new.failures, old_answers = totals.old.count(),
        old_failures = totals.old.failures, new_slots = inputs.capacity.new_slots,
        old_slots = inputs.capacity.old_slots, running = inputs.capacity.running);
}
