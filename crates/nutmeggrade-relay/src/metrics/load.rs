//! Metrics of decisions under load.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use super::add;

/// Bucket bounds of the paces of endpoints relative to the median of their service.
const RATIO_BUCKETS: [f64; 11] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 1.66, 2.0, 2.5, 4.0, 10.0];

/// Metrics of waiting, refused and yielding requests, leases, stalls and paces.
#[derive(Debug)]
pub struct LoadMetrics {
    /// Requests that wait at all instances, as far as known, by priority.
    pub fleet_waiting: IntGaugeVec,
    /// Capacity that is kept free for urgent requests, in tokens or slots.
    pub urgent_reserve: IntGauge,
    /// Requests that left free capacity to others, by reason.
    pub yields: IntCounterVec,
    /// Requests refused because no endpoint has room, by reason.
    pub refusals: IntCounterVec,
    /// Leases on the capacity of engines, by end.
    pub holds: IntCounterVec,
    /// Notices that an endpoint has stopped sending, by the instance that found it.
    pub stall_notices: IntCounterVec,
    /// Usual paces of endpoints relative to the median of their service, observed once a second.
    pub endpoint_pace_ratio: Histogram,
    /// Endpoints that take fewer long generations than they have slots.
    pub gap_limited_endpoints: IntGauge,
}

impl LoadMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> anyhow::Result<Self> {
        let counters = |name, help, labels: &[&str]| {
            add(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauges = |name, help, labels: &[&str]| {
            add(registry, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| add(registry, IntGauge::new(name, help));
        Ok(Self {
            fleet_waiting: gauges(
                "fleet_waiting",
                "requests that wait at all instances",
                &["priority"],
            )?,
            urgent_reserve: gauge(
                "urgent_reserve_tokens",
                "capacity kept free for urgent requests",
            )?,
            yields: counters(
                "yields_total",
                "requests that left free capacity to others",
                &["reason"],
            )?,
            refusals: counters(
                "refusals_total",
                "requests refused because no endpoint has room",
                &["reason"],
            )?,
            holds: counters("holds_total", "leases on the capacity of engines", &["end"])?,
            stall_notices: counters(
                "stall_notices_total",
                "notices that an endpoint has stopped sending",
                &["source"],
            )?,
            endpoint_pace_ratio: add(registry, Histogram::with_opts(pace_ratio_options()))?,
            gap_limited_endpoints: gauge(
                "gap_limited_endpoints",
                "endpoints that take fewer long generations than they have slots",
            )?,
        })
    }
}

fn pace_ratio_options() -> HistogramOpts {
    let help = "usual time per event of each endpoint relative to the median of its service";
    HistogramOpts::new("endpoint_pace_ratio", help).buckets(RATIO_BUCKETS.to_vec())
}
