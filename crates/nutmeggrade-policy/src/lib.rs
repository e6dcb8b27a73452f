//! Decisions under load: what is let in, what waits, what is turned away, where work goes.
//!
//! No network, no clock, no threads: `now` and the seed are arguments, so that a test plays a burst
//! or a slow endpoint in virtual time. [`Scheduler`] is the whole of it for generations and
//! [`ServicePicker`] for calls of plain services; each other type is one decision.

pub mod cold_watch;
pub mod dispatch;
pub mod fleet;
pub mod gap;
pub mod knobs;
pub mod length;
pub mod lots;
pub mod memory;
pub mod pace;
pub mod prefill;
pub mod priority;
pub mod queue;
pub mod retry_budget;
pub mod rollout;
pub mod router;
pub mod share;
pub mod slow_start;
pub mod wait;

mod ask;
mod engine;
mod known;
mod mix;
mod scheduler;
mod service_picker;
mod spread;
mod stream;
mod verdict;

pub use ask::Ask;
pub use engine::Engine;
pub use retry_budget::RetryBudget;
pub use scheduler::Scheduler;
pub use service_picker::ServicePicker;
pub use spread::Spread;
pub use verdict::{End, Ticket, Verdict};
