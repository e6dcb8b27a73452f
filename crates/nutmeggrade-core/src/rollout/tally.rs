//! Counts of requests and outcomes during a rollout.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Outcome, RouteOutcomes};

/// Maximum number of routes counted separately; the others share one entry, so that a report fits
/// into a datagram.
const MAX_ROUTES: usize = 12;
/// Name of the entry that combines the remaining routes.
const OTHER_ROUTES: &str = "*";

/// Counts of a rollout, of one instance or of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTally {
    /// Number of requests for the service.
    #[serde(rename = "q")]
    pub requests: u32,
    /// Number of requests sent to the new version.
    #[serde(rename = "x")]
    pub exposed: u32,
    /// Outcomes by route.
    #[serde(rename = "r")]
    pub routes: BTreeMap<String, RouteOutcomes>,
}

impl RolloutTally {
    /// Records an outcome of a request on a route.
    pub fn add(&mut self, route: &str, is_new: bool, outcome: Outcome) {
        let is_separate = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let route = if is_separate { route } else { OTHER_ROUTES };
        let outcomes = self.routes.entry(route.to_owned()).or_default();
        let version_outcomes = if is_new { &mut outcomes.new } else { &mut outcomes.old };
        version_outcomes.add(outcome);
    }

    /// Returns the combined outcomes of all routes.
    pub fn all_routes(&self) -> RouteOutcomes {
        let mut all = RouteOutcomes::default();
        for outcomes in self.routes.values() {
            all.merge(outcomes);
        }
        all
    }

    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.exposed = self.exposed.saturating_add(other.exposed);
        for (route, outcomes) in &other.routes {
            self.routes.entry(route.clone()).or_default().merge(outcomes);
        }
    }

    /// Returns the counts since the earlier state `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let routes = self.routes.iter().map(|(route, outcomes)| {
            let earlier_outcomes = earlier.routes.get(route).copied().unwrap_or_default();
            (route.clone(), outcomes.since(&earlier_outcomes))
        });
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            exposed: self.exposed.saturating_sub(earlier.exposed),
            routes: routes.collect(),
        }
    }

    /// Returns the new version's counts since an earlier state, with the old version's totals.
    #[must_use]
    pub fn with_new_version_since(&self, earlier: &Self) -> Self {
        let mut difference = self.since(earlier);
        for (route, outcomes) in &mut difference.routes {
            outcomes.old = self.routes.get(route).map(|all| all.old).unwrap_or_default();
        }
        difference
    }
}
