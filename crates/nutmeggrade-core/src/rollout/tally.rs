//! What is counted of a roll-out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Outcome, RouteOutcomes};

/// Routes that are counted apart; further ones count together. A report has to fit into a datagram.
const MOST_ROUTES: usize = 12;
/// Name under which further routes count.
const OTHERS: &str = "*";

/// What is counted of a roll-out, by one instance or by the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTally {
    /// Requests for the service.
    #[serde(rename = "q")]
    pub requests: u32,
    /// Requests sent to the new version.
    #[serde(rename = "x")]
    pub exposed: u32,
    /// Outcomes by route.
    #[serde(rename = "r")]
    pub routes: BTreeMap<String, RouteOutcomes>,
}

impl RolloutTally {
    /// Notes an outcome of a route's request.
    pub fn add(&mut self, route: &str, is_new: bool, outcome: Outcome) {
        let is_counted = self.routes.contains_key(route) || self.routes.len() < MOST_ROUTES;
        let route = if is_counted { route } else { OTHERS };
        let outcomes = self.routes.entry(route.to_owned()).or_default();
        let side = if is_new { &mut outcomes.new } else { &mut outcomes.old };
        side.add(outcome);
    }

    /// Returns the outcomes of all routes together.
    pub fn all_routes(&self) -> RouteOutcomes {
        let mut all = RouteOutcomes::default();
        for outcomes in self.routes.values() {
            all.merge(outcomes);
        }
        all
    }

    /// Adds what another instance counted.
    pub fn merge(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.exposed = self.exposed.saturating_add(other.exposed);
        for (route, outcomes) in &other.routes {
            self.routes.entry(route.clone()).or_default().merge(outcomes);
        }
    }

    /// Returns what was counted since an earlier state of this tally.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let routes = self.routes.iter().map(|(route, outcomes)| {
            let before = earlier.routes.get(route).copied().unwrap_or_default();
            (route.clone(), outcomes.since(&before))
        });
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            exposed: self.exposed.saturating_sub(earlier.exposed),
            routes: routes.collect(),
        }
    }

    /// Returns what was counted of the new version since an earlier state, beside all of the old one.
    #[must_use]
    pub fn with_new_since(&self, earlier: &Self) -> Self {
        let mut since = self.since(earlier);
        for (route, outcomes) in &mut since.routes {
            outcomes.old = self.routes.get(route).map(|all| all.old).unwrap_or_default();
        }
        since
    }
}
