//! The instance of nutmeggrade that stands between callers and endpoints.
//!
//! All instances are equal and keep nothing. [`run`] starts one from its [`Settings`]; the binary
//! adds the command line. What an instance decides is in `nutmeggrade-policy`, what it knows in
//! `nutmeggrade-state`; this crate connects the two to HTTP, to nng and to the platform.
//!
//! # Workers and locks
//!
//! Tokio's worker pool runs all tasks over the shared [`tables::Tables`]. A worker that needs more
//! than one lock takes them in the order of the struct's fields: `config`, `members`, `endpoints`,
//! `rights`, `orders`, `scheduler`, `picker`, `retries`, `fence`, `waiters`, `explain`, `changes`,
//! `audit`, `intents`, `suspects`, `orphans`. No lock is held over an await.

pub mod admin;
pub mod audit;
pub mod caller;
pub mod engine_client;
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
