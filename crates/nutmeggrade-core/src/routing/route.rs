//! One route.

use std::time::Duration;

use super::RouteKind;
use crate::id::ServiceId;

/// One of the services that a route's requests are spread over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the others' weights.
    pub weight: u32,
}

/// What operators say of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: String,
    /// Host that clients ask for.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most time that a request is kept waiting for its whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that users are content with.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve it.
    pub splits: Vec<Split>,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Whether its requests carry prompts.
    pub sticky: bool,
    /// Longest pause between two events that users are content with.
    pub gap: Duration,
}

impl Route {
    /// Chooses a service by weight; `draw` is between 0 and 1.
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw * total as f64;
        for split in &self.splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|s| &s.service)
    }
}
