//! Pace of an endpoint as far as a decision depends on it.

/// Pace of an endpoint relative to others of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceView {
    /// Usual time per event relative to the fastest quarter of the service, at least 1.
    pub ratio: f64,
    /// Time that work takes at this moment relative to the usual time, if it is known.
    pub now: Option<f64>,
    /// Requests with which long generations have no late events, if that limit applies.
    pub max_running: Option<f64>,
    /// Requests with which no event is late while two prompts are processed, if that limits them.
    pub max_reading: Option<f64>,
}

impl PaceView {
    /// The view of an endpoint of whose pace nothing is known.
    pub const UNKNOWN: Self = Self { ratio: 1.0, now: None, max_running: None, max_reading: None };
}
