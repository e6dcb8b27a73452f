//! An instance of nutmeggrade: the proxy between callers and endpoints.
//!
//! All instances are equal and hold no durable state. [`run`] starts one from its [`Settings`]; the
//! binary adds the command line. `nutmeggrade-policy` makes the decisions and `nutmeggrade-state`
//! holds the state; this crate connects both to HTTP, to nng and to the platform.
//!
//! # Workers and locks
//!
//! Tokio's worker pool runs all tasks over the shared [`tables::Tables`]. A worker that needs
//! several locks acquires them in the order of the struct's fields: `config`, `members`,
//! `endpoints`, `rights`, `orders`, `scheduler`, `picker`, `retries`, `fence`, `waiters`,
//! `explain`, `changes`, `audit`, `intents`, `suspects`, `orphans`. No lock is held across an await
//! point.

pub mod admin;
pub mod audit;
pub mod caller;
pub mod engine_client;
mod event_bytes;
pub mod explain;
pub mod front;
pub mod generation;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peers;
pub mod server;
pub mod service;
pub mod settings;
pub mod tables;
pub mod tasks;

pub use node::Node;
pub use server::run;
pub use settings::Settings;
