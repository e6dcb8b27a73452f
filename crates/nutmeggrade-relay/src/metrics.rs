//! Counters, gauges and histograms of an instance that serves routes.

use anyhow::Context;
use nutmeggrade_state::invariant;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bounds of the time histograms, in seconds: from a fast call to the longest answers.
const TIMES: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Everything that the metrics address shows.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome and code.
    pub requests: IntCounterVec,
    /// Requests that wait for room.
    pub waiting: IntGauge,
    /// Time that requests waited for room.
    pub waits: Histogram,
    /// Time to the head of an answer, or to a stream's first event.
    pub first: Histogram,
    /// Requests handed to endpoints, by how the send ended.
    pub sends: IntCounterVec,
    /// Second sends that the budget did not allow.
    pub over_budget: IntCounter,
    /// Endpoints of which peers said that nobody listens there.
    pub told_gone: IntCounter,
    /// Generations taken along from an endpoint that leaves, by how it ended.
    pub moves: IntCounterVec,
    /// Open connections of clients.
    pub connections: IntGauge,
    /// Version of the routing configuration.
    pub config: IntGauge,
    /// Endpoints that may get new work.
    pub endpoints: IntGauge,
    /// Peers heard lately.
    pub peers: IntGauge,
    /// Calls to the platform's store by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Calls to the platform's store by kind and reason.
    pub store_call_reasons: IntCounterVec,
    /// Bytes of messages between instances by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Bytes of the store's answers by kind.
    pub store_bytes: IntCounterVec,
    /// How far each service's roll-out is, as the number of its phase.
    pub rollout_phase: IntGaugeVec,
    /// Log lines dropped.
    pub dropped_lines: IntGauge,
    broken: IntGaugeVec,
}

impl Metrics {
    /// Registers everything.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new_custom(Some("nutmeggrade_relay".to_owned()), None)?;
        let counters = |name, help, labels: &[&str]| {
            add(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| add(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| add(&registry, IntGauge::new(name, help));
        let times = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(TIMES.to_vec());
            add(&registry, Histogram::with_opts(options))
        };
        Ok(Self {
            requests: counters("requests_total", "requests by outcome", &["outcome", "code"])?,
            waiting: gauge("waiting", "requests that wait for room")?,
            waits: times("wait_seconds", "time that requests waited for room")?,
            first: times("first_seconds", "time to an answer's head or first event")?,
            sends: counters("sends_total", "requests handed to endpoints", &["end"])?,
            over_budget: counter("over_budget_total", "second sends that were not allowed")?,
            told_gone: counter("told_gone_total", "endpoints that peers found gone")?,
            moves: counters("moves_total", "generations taken along", &["end"])?,
            connections: gauge("connections", "open connections of clients")?,
            config: gauge("config_version", "routing configuration in force")?,
            endpoints: gauge("endpoints", "endpoints that may get new work")?,
            peers: gauge("peers", "peers heard lately")?,
            peer_bytes: counters(
                "peer_bytes_total",
                "bytes of messages between instances",
                &["message", "direction"],
            )?,
            store_bytes: counters("store_bytes_total", "bytes of the store's answers", &["kind"])?,
            store_calls: counters("store_calls_total", "calls to the store", &["kind", "end"])?,
            store_call_reasons: counters(
                "store_call_reasons_total",
                "calls to the store by reason",
                &["kind", "reason"],
            )?,
            rollout_phase: add(
                &registry,
                IntGaugeVec::new(
                    Opts::new("rollout_phase", "phase of a service's roll-out"),
                    &["service"],
                ),
            )?,
            dropped_lines: gauge("log_lines_dropped", "log lines dropped")?,
            broken: add(
                &registry,
                IntGaugeVec::new(Opts::new("invariants_broken", "must stay absent"), &["name"]),
            )?,
            registry,
        })
    }

    /// Writes everything in the Prometheus text format.
    pub fn text(&self) -> anyhow::Result<String> {
        for (name, count) in invariant::broken() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.broken.with_label_values(&[name]).set(count);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).context("encode metrics")
    }
}

fn add<C>(registry: &Registry, made: prometheus::Result<C>) -> anyhow::Result<C>
where
    C: Collector + Clone + 'static,
{
    let made = made.context("make a metric")?;
    registry.register(Box::new(made.clone())).context("register a metric")?;
    Ok(made)
}
