//! Routes.

use std::time::Duration;

use super::RouteKind;
use crate::id::ServiceId;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// Weight of the service, relative to the other services' weights.
    pub weight: u32,
}

/// Configuration of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: String,
    /// Host that requests are addressed to.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated and responses are streams.
    pub kind: RouteKind,
    /// Maximum time from the request to the end of its response.
    pub timeout: Duration,
    /// Target time to the response, or to a stream's first event.
    pub target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that serve the route, with their weights.
    pub splits: Vec<Split>,
    /// Maximum number of endpoints that a request is sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests carry prompts.
    pub sticky: bool,
    /// Target for the longest pause between two events.
    pub gap: Duration,
}

impl Route {
    /// Selects a service by weight; `draw` is a random number between 0 and 1.
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = draw * total as f64;
        for split in &self.splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|s| &s.service)
    }
}
