//! Decisions under load: what is let in, what waits, what is turned away, where work goes.
//!
//! No network, no clock, no threads: `now` and the seed are arguments, so that a test plays a burst
//! or a slow endpoint in virtual time. [`Scheduler`] is the whole of it for generations and
//! [`ServicePicker`] for calls of plain services; each other type is one decision.

mod ask;
mod scheduler;
mod service_picker;
mod spread;
mod verdict;

pub use ask::Ask;
pub use scheduler::{Engine, Scheduler};
pub use service_picker::ServicePicker;
pub use spread::Spread;
pub use verdict::{End, Ticket, Verdict};
