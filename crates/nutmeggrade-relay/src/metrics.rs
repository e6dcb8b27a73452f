//! Counters, gauges and histograms of an instance that serves routes.

mod load;
mod versions;

use anyhow::Context;
use nutmeggrade_state::invariant;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use self::load::LoadMetrics;
use self::versions::VersionMetrics;
use crate::intake::MemoryMetrics;

/// Bucket bounds of the time histograms, in seconds: from a fast call to the longest responses.
const TIME_BUCKETS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Metrics served at the metrics address.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome and code.
    pub requests: IntCounterVec,
    /// Bodies that endpoints sent piece by piece, by framing and end.
    pub body_ends: IntCounterVec,
    /// Requests that wait for a free slot.
    pub waiting: IntGauge,
    /// Time that requests waited for a free slot.
    pub waits: Histogram,
    /// Decisions under load.
    pub load: LoadMetrics,
    /// Versions at which streams began.
    pub versions: VersionMetrics,
    /// Time to the head of a response, or to a stream's first event.
    pub first: Histogram,
    /// Requests sent to endpoints, by outcome of the send.
    pub sends: IntCounterVec,
    /// Requests forwarded to peers, by outcome.
    pub forwards: IntCounterVec,
    /// Services whose endpoints can't be connected to.
    pub cut_off_services: IntGauge,
    /// Crashes of endpoints under requests, by the instance that saw them.
    pub crashes: IntCounterVec,
    /// Lost requests that are no evidence of a crash, by reason.
    pub uncounted_losses: IntCounterVec,
    /// Requests and prompt parts that are held because they crash endpoints.
    pub held_culprits: IntGaugeVec,
    /// Resends that the budget did not allow.
    pub over_budget: IntCounter,
    /// Reports of peers that an endpoint's address refuses connections.
    pub unreachable_notices: IntCounter,
    /// Generations moved away from leaving endpoints, by outcome.
    pub moves: IntCounterVec,
    /// Open connections of clients.
    pub connections: IntGauge,
    /// Version of the routing configuration in force.
    pub config: IntGauge,
    /// Endpoints that may get new work.
    pub endpoints: IntGauge,
    /// Endpoints for which it was recomputed whether they may get new work.
    pub refreshed_endpoints: IntCounter,
    /// Endpoints that were compared to place requests.
    pub compared_endpoints: IntCounter,
    /// Responses in which an endpoint asked this instance to wait.
    pub backoffs: IntCounter,
    /// Endpoints that state a rate limit.
    pub limited_endpoints: IntGauge,
    /// Peers whose heartbeats arrived recently.
    pub peers: IntGauge,
    /// Live peers that serve clients.
    pub serving_peers: IntGauge,
    /// Rank of this instance among the readers of the store; 3 if it is none.
    pub reader_rank: IntGauge,
    /// Time since the store's last answer by kind.
    pub store_answer_age: IntGaugeVec,
    /// Calls to the platform's store by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Calls to the platform's store by kind and reason.
    pub store_call_reasons: IntCounterVec,
    /// Bytes of messages between instances by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Bytes that were fetched from peers by kind of object.
    pub fetched_bytes: IntCounterVec,
    /// Bytes of the store's responses by kind.
    pub store_bytes: IntCounterVec,
    /// Objects of the store that can't be decoded or used, by kind.
    pub unreadable_objects: IntCounterVec,
    /// Phase of each service's rollout, as a number.
    pub rollout_phase: IntGaugeVec,
    /// Log lines dropped.
    pub dropped_lines: IntGauge,
    invariants_broken: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new_custom(Some("nutmeggrade_relay".to_owned()), None)?;
        let counters = |name, help, labels: &[&str]| {
            add(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauges = |name, help, labels: &[&str]| {
            add(&registry, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| add(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| add(&registry, IntGauge::new(name, help));
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
            add(&registry, Histogram::with_opts(options))
        };
        Ok(Self {
            requests: counters("requests_total", "requests by outcome", &["outcome", "code"])?,
            body_ends: counters(
                "body_ends_total",
                "ends of bodies that were passed on as they came",
                &["framing", "end"],
            )?,
            waiting: gauge("waiting", "requests that wait for room")?,
            load: LoadMetrics::new(&registry)?,
            versions: VersionMetrics::new(&registry)?,
            waits: histogram("wait_seconds", "time that requests waited for room")?,
            first: histogram("first_seconds", "time to an answer's head or first event")?,
            sends: counters("sends_total", "requests handed to endpoints", &["end"])?,
            forwards: counters("forwards_total", "requests forwarded to peers", &["end"])?,
            cut_off_services: gauge(
                "cut_off_services",
                "services whose endpoints can't be connected to",
            )?,
            crashes: counters(
                "crashes_total",
                "endpoints that crashed under a request",
                &["source"],
            )?,
            uncounted_losses: counters(
                "uncounted_losses_total",
                "lost requests that are no evidence of a crash",
                &["why"],
            )?,
            held_culprits: gauges(
                "held_culprits",
                "what is held because it crashes endpoints",
                &["kind"],
            )?,
            over_budget: counter("over_budget_total", "second sends that were not allowed")?,
            unreachable_notices: counter("told_gone_total", "endpoints that peers found gone")?,
            moves: counters("moves_total", "generations taken along", &["end"])?,
            connections: gauge("connections", "open connections of clients")?,
            config: gauge("config_version", "routing configuration in force")?,
            endpoints: gauge("endpoints", "endpoints that may get new work")?,
            refreshed_endpoints: counter(
                "refreshed_endpoints_total",
                "endpoints for which it was recomputed whether they may get new work",
            )?,
            compared_endpoints: counter(
                "compared_endpoints_total",
                "endpoints that were compared to place requests",
            )?,
            backoffs: counter("backoffs_total", "answers in which an endpoint asked for a pause")?,
            limited_endpoints: gauge("limited_endpoints", "endpoints that state a rate limit")?,
            peers: gauge("peers", "peers heard lately")?,
            serving_peers: gauge("serving_peers", "peers heard lately that serve clients")?,
            peer_bytes: counters(
                "peer_bytes_total",
                "bytes of messages between instances",
                &["message", "direction"],
            )?,
            fetched_bytes: counters(
                "fetched_bytes_total",
                "bytes fetched from peers by kind of object",
                &["kind"],
            )?,
            store_bytes: counters("store_bytes_total", "bytes of the store's answers", &["kind"])?,
            reader_rank: gauge(
                "reader_rank",
                "rank among the readers of the store, 3 if it is none",
            )?,
            store_answer_age: gauges(
                "store_answer_age_seconds",
                "time since the store's last answer",
                &["kind"],
            )?,
            store_calls: counters("store_calls_total", "calls to the store", &["kind", "end"])?,
            store_call_reasons: counters(
                "store_call_reasons_total",
                "calls to the store by reason",
                &["kind", "reason"],
            )?,
            unreadable_objects: counters(
                "unreadable_objects_total",
                "revisions of objects that can't be read",
                &["kind"],
            )?,
            rollout_phase: gauges("rollout_phase", "phase of a service's roll-out", &["service"])?,
            dropped_lines: gauge("log_lines_dropped", "log lines dropped")?,
            invariants_broken: gauges("invariants_broken", "must stay absent", &["name"])?,
            registry,
        })
    }

    /// Registers the metrics of the memory that clients hold.
    pub fn memory(&self) -> anyhow::Result<MemoryMetrics> {
        MemoryMetrics::new(&self.registry)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> anyhow::Result<String> {
        for (name, count) in invariant::broken() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.invariants_broken.with_label_values(&[name]).set(count);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).context("encode metrics")
    }
}

/// Registers a metric.
pub fn add<C>(registry: &Registry, metric: prometheus::Result<C>) -> anyhow::Result<C>
where
    C: Collector + Clone + 'static,
{
    let metric = metric.context("make a metric")?;
    registry.register(Box::new(metric.clone())).context("register a metric")?;
    Ok(metric)
}
