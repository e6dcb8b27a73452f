//! Metrics of the memory that clients hold.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::metrics::add;

/// Metrics of the memory that clients hold.
#[derive(Debug)]
pub struct MemoryMetrics {
    /// Bytes that clients hold.
    pub used: IntGauge,
    /// Bytes that clients may hold.
    pub limit: IntGauge,
    /// Connections and requests that were refused, by what they needed.
    pub refused: IntCounterVec,
    /// Connections that were given up for others.
    pub given_up: IntCounter,
}

impl MemoryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a metric is registered already.
    pub fn new(registry: &Registry) -> anyhow::Result<Self> {
        let gauge = |name: &str, help: &str| add(registry, IntGauge::new(name, help));
        let counter = |name: &str, help: &str| add(registry, IntCounter::new(name, help));
        let counters = |name, help, labels: &[&str]| {
            add(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        Ok(Self {
            used: gauge("client_memory_bytes", "bytes that clients hold")?,
            limit: gauge("client_memory_limit_bytes", "bytes that clients may hold")?,
            refused: counters(
                "client_refusals_total",
                "connections and requests that exceeded what clients share",
                &["resource"],
            )?,
            given_up: counter(
                "connections_given_up_total",
                "silent connections closed for others",
            )?,
        })
    }
}
