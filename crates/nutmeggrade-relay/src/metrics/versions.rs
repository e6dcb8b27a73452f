//! Metrics of the versions at which streams began.

use prometheus::{IntCounterVec, Opts, Registry};

use super::add;

/// Metrics of streams that clients take up, and of the records of services' versions.
#[derive(Debug)]
pub struct VersionMetrics {
    /// Streams that clients took up, by what is known of their version and what said so.
    pub origins: IntCounterVec,
    /// Writes of records, by outcome.
    pub writes: IntCounterVec,
}

impl VersionMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> anyhow::Result<Self> {
        let counters = |name, help, labels: &[&str]| {
            add(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        Ok(Self {
            origins: counters(
                "stream_origins_total",
                "streams taken up by what is known of their version",
                &["end", "source"],
            )?,
            writes: counters("version_writes_total", "writes of records of versions", &["end"])?,
        })
    }
}
