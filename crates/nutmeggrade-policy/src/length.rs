//! Online estimates of answer lengths, updated while answers run.

mod estimator;
mod hazard;

pub use estimator::LengthEstimator;
pub use hazard::Hazard;
