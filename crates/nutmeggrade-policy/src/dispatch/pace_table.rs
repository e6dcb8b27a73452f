//! Paces of all endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::PaceReport;
use nutmeggrade_core::prelude::*;

use super::Candidate;
use super::pace_view::PaceView;
use super::service_paces::ServicePaces;

/// Endpoints per message to the peers, some 25 bytes each.
const MAX_REPORTS: usize = 64;
/// Minimum interval between two messages.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Reports of all instances in a second. They stay below 7 KB/s at a receiver, also if each comes in a
/// datagram of its own, of some 100 bytes.
const FLEET_REPORTS_PER_SECOND: f64 = 60.0;
/// Change of an estimate since any instance last reported it from which it is reported again.
const REPORT_TOLERANCE: f64 = 0.15;
/// Change of an endpoint's usual pace from which it is logged.
const LOGGED_CHANGE: f64 = 0.5;

/// A change of an endpoint's usual pace that is logged, in microseconds per event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// The usual pace when it was last logged.
    pub old: f64,
    /// The usual pace now.
    pub new: f64,
}

/// Paces of all endpoints, as measured here and reported by peers.
///
/// An instance of a large fleet sees few streams of each endpoint, so that instances exchange usual
/// paces. A service takes part once one of its endpoints has reported a figure of its pace to this
/// instance. Reports of peers alone change nothing, so that nonsense can't affect other services.
#[derive(Debug, Default)]
pub struct PaceTable {
    services: BTreeMap<ServiceId, ServicePaces>,
    gap_limits: BTreeMap<ServiceId, Duration>,
    reported_at: Moment,
    /// Reports that this instance may send, as its part of the fleet's.
    allowance: f64,
}

impl PaceTable {
    /// Creates a table without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the smallest gap limit of the routes to each service.
    pub fn set_gap_limits(&mut self, limits: BTreeMap<ServiceId, Duration>) {
        self.gap_limits = limits;
    }

    /// Returns the smallest gap limit of the routes to a service.
    pub fn gap_limit(&self, service: &ServiceId) -> Option<Duration> {
        self.gap_limits.get(service).copied()
    }

    /// Records a figure of its pace that an endpoint reported, in hundredths of the usual time.
    pub fn record_figure(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        hundredths: u32,
        now: Moment,
    ) {
        let paces = self.services.entry(service.clone()).or_default();
        paces.activate();
        let ratio = paces.endpoint_mut(endpoint).record_figure(hundredths, now);
        paces.record_figure(ratio);
    }

    /// Returns whether the paces of a service's endpoints count.
    pub fn is_active(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(ServicePaces::is_active)
    }

    /// Records a gap between two events of a stream while `running` requests were at its endpoint.
    pub fn record_gap(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        (gap, running): (Duration, u32),
        now: Moment,
    ) -> Option<PaceChange> {
        let paces = self.services.get_mut(service).filter(|paces| paces.is_active())?;
        let pace = paces.endpoint_mut(endpoint);
        if !pace.record_gap(gap, running, now) {
            return None;
        }
        let change = pace.take_change(LOGGED_CHANGE);
        paces.summarize(now);
        change.map(|(old, new)| PaceChange { old, new })
    }

    /// Records a peer's estimate for an endpoint of a service.
    pub fn add_report(
        &mut self,
        service: &ServiceId,
        report: &PaceReport,
        now: Moment,
    ) -> Option<PaceChange> {
        let paces = self.services.entry(service.clone()).or_default();
        let pace = paces.endpoint_mut(&report.endpoint);
        if !pace.add_report(report.micros, report.gaps, now) {
            return None;
        }
        let change = pace.take_change(LOGGED_CHANGE);
        paces.summarize(now);
        change.map(|(old, new)| PaceChange { old, new })
    }

    /// Returns the estimates that are due to be reported to the peers, in a fleet of this many
    /// instances.
    pub fn take_reports(&mut self, instances: usize, now: Moment) -> Vec<PaceReport> {
        let elapsed = now.since(self.reported_at);
        if elapsed < REPORT_INTERVAL {
            return Vec::new();
        }
        self.reported_at = now;
        let rate = FLEET_REPORTS_PER_SECOND / instances.max(1) as f64;
        self.allowance = (self.allowance + rate * elapsed.as_secs_f64()).min(rate.max(1.0));
        let mut reports = Vec::new();
        let all = self.services.values_mut().filter(|paces| paces.is_active());
        for (endpoint, pace) in all.flat_map(ServicePaces::endpoints_mut) {
            if self.allowance < 1.0 || reports.len() == MAX_REPORTS {
                break;
            }
            if let Some((micros, gaps)) = pace.due_report(REPORT_TOLERANCE, now) {
                pace.note_reported(micros, now);
                self.allowance -= 1.0;
                reports.push(PaceReport { endpoint: endpoint.clone(), micros, gaps });
            }
        }
        reports
    }

    /// Recomputes what the endpoints of each service are compared with, once a second at most.
    pub fn summarize(&mut self, now: Moment) {
        self.services.values_mut().for_each(|paces| paces.summarize(now));
    }

    /// Removes what is known of an endpoint that is gone or restarted.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.services.values_mut().for_each(|paces| paces.remove(endpoint));
    }

    /// Removes endpoints that are gone.
    pub fn retain_endpoints(&mut self, is_present: impl Fn(&EndpointId) -> bool) {
        self.services.values_mut().for_each(|paces| paces.retain(&is_present));
    }

    /// Returns the usual paces of all endpoints relative to the median of their service.
    pub fn ratios(&self) -> impl Iterator<Item = f64> {
        self.services.values().filter(|p| p.is_active()).flat_map(ServicePaces::ratios)
    }

    /// Returns the paces of a service's endpoints for a decision; none if they don't count.
    pub fn of_service(&self, service: &ServiceId) -> ServiceView<'_> {
        let paces = self.services.get(service).filter(|paces| paces.is_active());
        ServiceView { paces, gap: self.gap_limit(service) }
    }
}

/// Paces of the endpoints of one service, for a decision.
#[derive(Debug, Clone, Copy)]
pub struct ServiceView<'a> {
    paces: Option<&'a ServicePaces>,
    gap: Option<Duration>,
}

impl ServiceView<'_> {
    /// Returns the pace of an endpoint.
    pub fn of(&self, candidate: &Candidate, now: Moment) -> PaceView {
        self.paces.map_or(PaceView::UNKNOWN, |paces| paces.view(candidate, self.gap, now))
    }
}
