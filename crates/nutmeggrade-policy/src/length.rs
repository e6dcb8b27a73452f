//! Online estimates of response lengths, updated while responses run.

mod estimator;
mod hazard;

pub use estimator::LengthEstimator;
pub use hazard::Hazard;
