//! A randomised soak test: real instance processes, simulated endpoints and injected faults.
//!
//! The seed decides which instances are killed, paused, stopped and restarted, which links and
//! endpoints fail, how the store fails and what operators change; faults may overlap. Clients send
//! requests throughout. Afterwards the observations of clients and endpoints are checked against the
//! system's guarantees.

mod action;
mod checker;
mod clients;
mod endpoints;
mod instances;
mod odd_entry;
mod operator;
mod plan;
mod records;
mod runner;

pub use checker::Verdict;
pub use plan::Plan;
pub use runner::{run, show};
