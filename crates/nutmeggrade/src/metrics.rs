//! Metrics of an instance.

use anyhow::Context;
use nutmeggrade_relay::intake::MemoryMetrics;
use nutmeggrade_state::invariant;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Metrics exposed at `/metrics`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by path and code; code 0 is success.
    pub requests: IntCounterVec,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Open streams.
    pub streams: IntGauge,
    /// Retries of generations before their first token, and of idempotent calls.
    pub retries: IntCounter,
    /// Attempts to resume a stream at its engine.
    pub resumes: IntCounter,
    /// Repeated tokens, which were dropped.
    pub repeats: IntCounter,
    /// Tokens of another generation, which were dropped.
    pub foreign: IntCounter,
    /// Generations cancelled because their callers left.
    pub cancels: IntCounter,
    /// Engine crashes during a request of this instance.
    pub crashes: IntCounter,
    /// Requests refused because they crashed engines.
    pub suspects: IntGauge,
    /// Queued requests.
    pub waiting: IntGauge,
    /// Version of the configuration in force.
    pub config: IntGauge,
    /// Highest epoch received.
    pub epoch: IntGauge,
    /// 1 while new work is refused because the instance is cut off, else 0.
    pub fenced: IntGauge,
    /// Peers with a recent heartbeat.
    pub peers: IntGauge,
    /// Calls to the platform by kind.
    pub platform: IntGaugeVec,
    /// Bytes exchanged with the platform over HTTP.
    pub platform_bytes: IntGaugeVec,
    /// Bytes of messages exchanged with peers.
    pub peer_bytes: IntCounterVec,
    /// Dropped messages of peers by reason.
    pub dropped_messages: IntCounterVec,
    /// Requests whose decisions can be explained.
    pub explain_records: IntGauge,
    /// Bytes of memory for these decisions.
    pub explain_bytes: IntGauge,
    /// Audit entries dropped while the platform was unavailable.
    pub audit_lost: IntGauge,
    violations: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics of the memory that clients hold.
    pub fn memory(&self) -> anyhow::Result<MemoryMetrics> {
        MemoryMetrics::new(&self.registry)
    }

    /// Creates and registers all metrics.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new_custom(Some("nutmeggrade".to_owned()), None)?;
        let counter = |name: &str, help: &str| -> anyhow::Result<IntCounter> {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone())).context("register metric")?;
            Ok(metric)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| -> anyhow::Result<IntCounterVec> {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone())).context("register metric")?;
            Ok(metric)
        };
        let gauge = |name: &str, help: &str| -> anyhow::Result<IntGauge> {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone())).context("register metric")?;
            Ok(metric)
        };
        let gauges = |name: &str, help: &str, label: &str| -> anyhow::Result<IntGaugeVec> {
            let metric = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone())).context("register metric")?;
            Ok(metric)
        };
        Ok(Self {
            requests: counters("requests_total", "requests by path and code", &["path", "code"])?,
            tokens: counter("tokens_total", "tokens handed to callers")?,
            streams: gauge("streams", "open streams")?,
            retries: counter("retries_total", "generations started again before a token")?,
            resumes: counter("resumes_total", "streams taken up again at their engine")?,
            repeats: counter("repeats_total", "repeated tokens that were dropped")?,
            foreign: counter("foreign_tokens_total", "tokens of another generation, dropped")?,
            cancels: counter("cancels_total", "generations cancelled after their callers left")?,
            crashes: counter("engine_crashes_total", "engine crashes seen under a request")?,
            suspects: gauge("crash_suspects", "requests refused because they crashed engines")?,
            waiting: gauge("waiting", "requests that wait")?,
            config: gauge("config_version", "configuration in force")?,
            epoch: gauge("epoch", "newest epoch known")?,
            fenced: gauge("fenced", "1 while new work is refused for being cut off")?,
            peers: gauge("peers", "peers heard lately")?,
            platform: gauges("platform_calls", "calls to the platform", "kind")?,
            platform_bytes: gauges("platform_bytes", "HTTP with the platform", "direction")?,
            peer_bytes: counters("peer_bytes_total", "messages of peers", &["direction"])?,
            dropped_messages: counters(
                "peer_messages_dropped_total",
                "dropped peer messages",
                &["reason"],
            )?,
            explain_records: gauge("requests_remembered", "requests that can be explained")?,
            explain_bytes: gauge("requests_remembered_bytes", "bytes of their records")?,
            audit_lost: gauge("audit_lost", "audit entries given up in an outage")?,
            violations: gauges("invariants_broken", "must stay absent", "name")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> anyhow::Result<String> {
        for (name, count) in invariant::broken() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.violations.with_label_values(&[name]).set(count);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).context("encode metrics")
    }
}
