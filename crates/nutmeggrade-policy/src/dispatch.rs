//! Dispatch of routed requests: which endpoint they go to, which wait and which are refused.

mod candidate;
mod dispatcher;
mod failure_rate;
mod health;
mod lane_key;
mod load_book;
mod need;
mod room;

pub use candidate::Candidate;
pub use dispatcher::{DispatchDecision, Dispatcher};
pub use failure_rate::FailureRate;
pub use health::Health;
pub use load_book::{LoadChanges, LoadTable};
pub use need::DispatchRequest;
pub use nutmeggrade_core::routing::Placed;
pub use room::{failure_rate_penalty, fits, score};
