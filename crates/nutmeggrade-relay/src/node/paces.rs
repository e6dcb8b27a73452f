//! Paces of endpoints, measured here and exchanged with the peers.

use nutmeggrade_core::peer::{FleetMessage, PaceReport};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::dispatch::PaceChange;
use nutmeggrade_state::registry::Change;
use nutmeggrade_wire::answer::ReportedLoad;

use super::Node;
use crate::tables::lock;

/// Reports that are read of one message; peers send no more.
const MAX_REPORTS: usize = 64;

impl Node {
    /// Records the load that an endpoint reported in a response.
    pub fn note_load(&self, endpoint: &EndpointInfo, load: Option<ReportedLoad>) {
        if let Some(pace) = load.and_then(|load| load.pace) {
            lock(&self.tables).note_pace(endpoint, pace, self.now());
        }
    }

    /// Reports estimates to the peers that are due.
    pub fn share_paces(&self) {
        let now = self.now();
        let reports = {
            let tables = &mut *lock(&self.tables);
            let instances = tables.fleet.instance_count(now);
            tables.dispatcher.paces.take_reports(instances, now)
        };
        if !reports.is_empty() {
            self.broadcast(FleetMessage::Paces(reports));
        }
    }

    /// Records a peer's estimates for endpoints that are registered.
    pub fn add_peer_paces(&self, reports: &[PaceReport]) {
        let now = self.now();
        for report in reports.iter().take(MAX_REPORTS) {
            let change = {
                let tables = &mut *lock(&self.tables);
                let Some(entry) = tables.registry.get(&report.endpoint) else { continue };
                tables.dispatcher.paces.add_report(&entry.info.service, report, now)
            };
            if let Some(change) = change {
                log_change(&report.endpoint, change);
            }
        }
    }

    /// Updates the summaries and metrics of the endpoints' paces.
    pub fn observe_paces(&self) {
        let now = self.now();
        // Each step goes over all endpoints, so that requests get the lock in between.
        lock(&self.tables).dispatcher.paces.summarize(now);
        let ratios: Vec<f64> = lock(&self.tables).dispatcher.paces.ratios().collect();
        let limited = lock(&self.tables).dispatcher.gap_limited_count(now);
        for ratio in ratios {
            self.metrics.load.endpoint_pace_ratio.observe(ratio);
        }
        self.metrics.load.gap_limited_endpoints.set(i64::try_from(limited).unwrap_or(i64::MAX));
    }

    /// Drops the estimates of endpoints that were started again under the same id.
    pub(super) fn forget_paces(&self, changes: &[Change]) {
        let mut joined = changes.iter().filter_map(Change::joined).peekable();
        if joined.peek().is_none() {
            return;
        }
        let paces = &mut lock(&self.tables).dispatcher.paces;
        joined.for_each(|info| paces.remove_endpoint(&info.id));
    }
}

/// Logs a change of an endpoint's usual pace.
pub fn log_change(endpoint: &EndpointId, change: PaceChange) {
    let PaceChange { old, new } = change;
    let ms = |micros: f64| format!("{:.1}", micros / 1e3);
    tracing::info!(event = "pace_changed", %endpoint, old_ms = ms(old), new_ms = ms(new));
}
