//! Counters and gauges of an instance.

use anyhow::Context;
use nutmeggrade_state::invariant;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Everything that `/metrics` shows.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by path and code; code 0 is success.
    pub requests: IntCounterVec,
    /// Tokens handed to callers.
    pub tokens: IntCounter,
    /// Streams that are open.
    pub streams: IntGauge,
    /// Generations started again before their first token.
    pub retries: IntCounter,
    /// Streams taken up again at their engine.
    pub resumes: IntCounter,
    /// Tokens that an engine sent again and that were dropped.
    pub repeats: IntCounter,
    /// Tokens of another generation that were dropped.
    pub foreign: IntCounter,
    /// Generations cancelled after their callers left.
    pub cancels: IntCounter,
    /// Engines seen to crash while they ran a request of this instance.
    pub crashes: IntCounter,
    /// Requests refused because they crashed engines.
    pub suspects: IntGauge,
    /// Requests that wait.
    pub waiting: IntGauge,
    /// Version of the configuration in force.
    pub config: IntGauge,
    /// Newest epoch known.
    pub epoch: IntGauge,
    /// Whether new work is refused for being cut off, 1 or 0.
    pub fenced: IntGauge,
    /// Peers heard lately.
    pub peers: IntGauge,
    /// Calls to the platform by kind.
    pub platform: IntGaugeVec,
    /// Bytes of HTTP to and from the platform.
    pub platform_bytes: IntGaugeVec,
    /// Bytes of messages to and from peers.
    pub peer_bytes: IntCounterVec,
    /// Messages of peers that were dropped, by reason.
    pub dropped: IntCounterVec,
    /// Requests whose decisions are remembered.
    pub remembered: IntGauge,
    /// Bytes that they take.
    pub remembered_bytes: IntGauge,
    /// Audit entries given up while the platform was away.
    pub audit_lost: IntGauge,
    broken: IntGaugeVec,
}

impl Metrics {
    /// Registers everything.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new_custom(Some("nutmeggrade".to_owned()), None)?;
        let counter = |name: &str, help: &str| -> anyhow::Result<IntCounter> {
            let made = IntCounter::new(name, help)?;
            registry.register(Box::new(made.clone())).context("register")?;
            Ok(made)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| -> anyhow::Result<IntCounterVec> {
            let made = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(made.clone())).context("register")?;
            Ok(made)
        };
        let gauge = |name: &str, help: &str| -> anyhow::Result<IntGauge> {
            let made = IntGauge::new(name, help)?;
            registry.register(Box::new(made.clone())).context("register")?;
            Ok(made)
        };
        let gauges = |name: &str, help: &str, label: &str| -> anyhow::Result<IntGaugeVec> {
            let made = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(made.clone())).context("register")?;
            Ok(made)
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
            dropped: counters("peer_messages_dropped_total", "dropped peer messages", &["reason"])?,
            remembered: gauge("requests_remembered", "requests that can be explained")?,
            remembered_bytes: gauge("requests_remembered_bytes", "bytes of their records")?,
            audit_lost: gauge("audit_lost", "audit entries given up in an outage")?,
            broken: gauges("invariants_broken", "must stay absent", "name")?,
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
