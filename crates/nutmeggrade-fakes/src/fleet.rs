//! Runs a complete deployment as separate processes, for the demo and the tests.

mod caller;
mod client;
mod deployment;
mod plan;
mod process;
mod running;
mod usage;

pub use caller::{Caller, StreamOutput};
pub use client::Client;
pub use deployment::{Deployment, MODEL, SERVICE, preset};
pub use plan::Plan;
pub use process::{Process, log_folder, program_folder};
pub use running::{Fleet, NodeAddresses};
pub use usage::Usage;
