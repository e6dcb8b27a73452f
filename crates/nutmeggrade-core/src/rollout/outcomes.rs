//! Aggregated outcomes of requests.

use serde::{Deserialize, Serialize};

use super::{Latencies, Outcome};

/// Outcomes of the requests served by one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Number of requests that failed.
    #[serde(rename = "f")]
    pub failures: u32,
    /// Time to the response or to the first event.
    #[serde(rename = "l")]
    pub first_response: Latencies,
    /// Average time between events of a stream.
    #[serde(rename = "p")]
    pub event_interval: Latencies,
}

impl Outcomes {
    /// Records an outcome.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Failed => self.failures = self.failures.saturating_add(1),
            Outcome::FirstResponse(time) => self.first_response.add(time),
            Outcome::EventInterval(time) => self.event_interval.add(time),
        }
    }

    /// Returns the number of requests that got a response or failed.
    pub fn count(&self) -> u32 {
        self.failures.saturating_add(self.first_response.count())
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.failures = self.failures.saturating_add(other.failures);
        self.first_response.merge(&other.first_response);
        self.event_interval.merge(&other.event_interval);
    }

    /// Returns the counts since the earlier state `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            failures: self.failures.saturating_sub(earlier.failures),
            first_response: self.first_response.since(&earlier.first_response),
            event_interval: self.event_interval.since(&earlier.event_interval),
        }
    }
}

/// Outcomes of one route's requests by version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Outcomes of all other versions.
    #[serde(rename = "o")]
    pub old: Outcomes,
    /// Outcomes of the version that the service moves to.
    #[serde(rename = "n")]
    pub new: Outcomes,
}

impl RouteOutcomes {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }

    /// Returns the counts since the earlier state `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self { old: self.old.since(&earlier.old), new: self.new.since(&earlier.new) }
    }
}
