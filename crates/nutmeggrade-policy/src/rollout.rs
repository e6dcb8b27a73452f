//! Decisions about the progress of a rollout, based on the outcomes of its new version.

mod binomial;
mod evidence;
mod exposure;
mod inputs;
mod judge;
mod verdict;

pub use binomial::tail;
pub use evidence::compare;
pub use exposure::{ExposureBound, canary_endpoints};
pub use inputs::{Capacity, RolloutInputs};
pub use judge::{Judge, RolloutDecision};
pub use verdict::{Regression, Verdict};
