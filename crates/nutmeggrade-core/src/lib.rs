//! Types shared by all nutmeggrade crates.
//!
//! Ids, units, result codes, the configuration, and the messages between processes.
//! This crate does no I/O and reads no clock. `use nutmeggrade_core::prelude::*` brings the common
//! types into scope.

pub mod audit;
pub mod body_framing;
pub mod code;
pub mod config;
pub mod endpoint;
pub mod engine;
pub mod event_id;
pub mod failure;
pub mod id;
pub mod moment;
pub mod object;
pub mod order;
pub mod peer;
pub mod prelude;
pub mod rollout;
pub mod routing;
pub mod run_status;
pub mod secret;
pub mod settings;
pub mod version_record;
