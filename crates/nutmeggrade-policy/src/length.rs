//! How long an answer will be, learned while answers run.

mod estimator;
mod hazard;

pub use estimator::LengthEstimator;
pub use hazard::Hazard;
