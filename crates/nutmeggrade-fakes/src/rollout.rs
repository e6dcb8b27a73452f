//! Simulates rollouts in virtual time: instances with the product's own tables and judges,
//! endpoints of two versions of which the new one may be defective, links with delay, loss and
//! partitions, and a store that may be unavailable.

mod endpoints;
mod evaluation;
mod instance;
mod plan;
mod simulation;
mod store;

pub use evaluation::{Report, RolloutEnd};
pub use plan::{Fault, Flaw, Plan};
pub use simulation::simulate;
