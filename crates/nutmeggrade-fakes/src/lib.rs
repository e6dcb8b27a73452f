//! Fakes of the external systems that nutmeggrade uses: platform, model engine, plain service.
//!
//! Not published. Each fake runs as a process of its own (`cargo run --example platform`) and
//! implements only the interface and the failures of the external system. [`fleet`] starts and
//! stops these processes and nutmeggrade's instances for the demo and the tests. [`engine::Model`]
//! does no I/O and runs in virtual time, so that decisions can be measured without a process.

pub mod crowd;
pub mod driver;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod lease_burst;
pub mod platform;
pub mod relay;
pub mod rollout;
pub mod service;
pub mod site;
pub mod soak;
