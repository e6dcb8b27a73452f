//! Dispatch of routed requests: which endpoint they go to, which wait and which are refused.

mod backoff;
mod candidate;
mod dispatch_request;
mod dispatcher;
mod failure_rate;
mod health;
mod lane_key;
mod load_table;
mod room;

pub use backoff::Backoff;
pub use candidate::Candidate;
pub use dispatch_request::DispatchRequest;
pub use dispatcher::{DispatchDecision, Dispatcher};
pub use failure_rate::FailureRate;
pub use health::Health;
pub use load_table::{LoadChanges, LoadTable};
pub use nutmeggrade_core::routing::PlacedLoad;
pub use room::{failure_rate_penalty, fits, score};
