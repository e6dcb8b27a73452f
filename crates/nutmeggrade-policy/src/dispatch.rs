//! Dispatch of routed requests: which endpoint they go to, which wait and which are refused.

mod backoff;
mod candidate;
mod candidate_pool;
mod capacity_check;
mod comparison;
mod dispatch_request;
mod dispatcher;
mod failure_rate;
mod fleet_order;
mod free_capacity;
mod health;
mod idle_capacity;
mod lane_key;
mod limit;
mod load_table;
mod room;
mod service_pools;
mod startup;

pub use backoff::Backoff;
pub use candidate::Candidate;
pub use candidate_pool::CandidatePool;
pub use dispatch_request::DispatchRequest;
pub use dispatcher::{DispatchDecision, Dispatcher};
pub use failure_rate::FailureRate;
pub use fleet_order::FleetOrder;
pub use health::Health;
pub use load_table::{LoadChanges, LoadTable};
pub use nutmeggrade_core::routing::PlacedLoad;
pub use room::{failure_rate_penalty, fits, fits_within, score};
pub use service_pools::ServicePools;
pub use startup::{StartupView, startup_wait};
