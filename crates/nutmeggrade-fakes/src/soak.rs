//! A randomised soak: real instances before stand-ins, with faults from outside.
//!
//! A seed decides which instances are killed, paused, stopped and restarted, which links and
//! endpoints fail, what the store does and what operators change, in series that overlap. Clients go
//! on all the while. Afterwards what clients and endpoints saw is held against the promises.

mod act;
mod clients;
mod director;
mod instances;
mod judge;
mod ledger;
mod lives;
mod operator;
mod plan;

pub use director::{run, show};
pub use judge::Verdict;
pub use plan::Plan;
