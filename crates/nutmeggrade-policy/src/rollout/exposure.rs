//! How many requests a version may get that turns out bad.

/// How many requests a version may get that turns out bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Part of the service's requests within the time that the order gives.
    pub share: f64,
    /// Requests beyond that part.
    pub tolerance: f64,
}

impl ExposureBound {
    /// Returns how many requests may be exposed of so many.
    pub fn of(&self, requests: f64) -> f64 {
        self.share * requests + self.tolerance
    }
}

/// Returns how many of a new version's endpoints get the requests that are drawn for it: so few that each
/// has the load that it will have when all requests go there. A version may be bad under load only.
pub fn watched(endpoints: usize, share: f64) -> usize {
    let is_reached = |count: &usize| *count as f64 >= endpoints as f64 * share;
    (1..=endpoints).find(is_reached).unwrap_or(endpoints)
}
