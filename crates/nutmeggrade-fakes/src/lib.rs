//! Stand-ins for the outside systems that nutmeggrade meets: platform, model engine, plain service.
//!
//! Not published. Each runs as its own process (`cargo run --example platform`) and plays the
//! outside system's interface and failures, no more. [`fleet`] starts and stops such processes and
//! nodes for the demo and the tests. [`engine::Model`] is pure and runs in virtual time, so that
//! decisions can be measured without a process.

pub mod driver;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod relay;
pub mod rollout;
pub mod service;
pub mod site;
pub mod soak;
