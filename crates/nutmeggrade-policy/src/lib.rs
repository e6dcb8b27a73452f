//! Load-dependent decisions: admission, queueing, refusal and routing.
//!
//! Uses no network, clock or threads. The current time and the seed are arguments, so that tests
//! can simulate a burst or a slow endpoint in virtual time. [`Scheduler`] makes all decisions about
//! generations and [`ServicePicker`] those about calls of plain services; each other type makes one
//! decision.

pub mod cold_watch;
pub mod decision_settings;
pub mod dispatch;
pub mod fleet;
pub mod gap_limit;
pub mod intake;
pub mod length;
pub mod memory;
pub mod pace;
pub mod prefill_limit;
pub mod priority;
pub mod queue;
pub mod retry_budget;
pub mod rollout;
pub mod room_lottery;
pub mod router;
pub mod slow_start;
pub mod unreported_admissions;
pub mod wait_estimate;

mod engine;
mod engine_state;
mod generation_request;
mod hash;
mod retry_jitter;
mod scheduler;
mod service_picker;
mod staggered_interval;
mod stream;
mod verdict;

pub use engine::Engine;
pub use generation_request::GenerationRequest;
pub use retry_budget::RetryBudget;
pub use retry_jitter::RetryJitter;
pub use scheduler::Scheduler;
pub use service_picker::ServicePicker;
pub use staggered_interval::StaggeredInterval;
pub use verdict::{End, Ticket, Verdict};
