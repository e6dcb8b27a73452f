//! Bounds on the exposure of requests to a new version.

/// Bound on the number of requests that a version may get if it turns out bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Fraction of the service's requests within the duration of the order.
    pub share: f64,
    /// Requests allowed in addition to that fraction.
    pub tolerance: f64,
}

impl ExposureBound {
    /// Returns the number of `requests` that may be exposed.
    pub fn max_exposed(&self, requests: f64) -> f64 {
        self.share * requests + self.tolerance
    }
}

/// Returns how many endpoints of a new version get the requests selected for it. The number is
/// small enough that each has the same load as when all requests go to the new version, since a
/// version may be bad only under load.
pub fn canary_endpoints(endpoints: usize, share: f64) -> usize {
    let is_enough = |count: &usize| *count as f64 >= endpoints as f64 * share;
    (1..=endpoints).find(is_enough).unwrap_or(endpoints)
}
