//! Request-serving instance: accepts clients' requests, places each at an endpoint, and returns the
//! response byte for byte.
//!
//! [`run`] starts everything. `relay/` handles one request, `watch/` keeps the view of the
//! platform's store up to date, `peers` exchanges heartbeats, `front/` holds the clients'
//! connections. Decisions are in `nutmeggrade-policy` and `nutmeggrade-state`; wire formats are in
//! `platform/`.

mod admin;
mod answer_body;
mod answer_deadline;
mod answer_queue;
mod clock;
mod config_source;
mod connect;
mod engine_call;
mod engine_watch;
mod fleet_sync;
mod front;
mod instance;
pub mod intake;
mod logs;
mod metrics;
mod node;
mod open_requests;
mod peers;
mod probes;
mod reach;
mod relay;
mod reload;
mod rollouts;
mod server;
mod settings;
mod short_call;
mod stream_origin;
mod tables;
mod ticker;
mod version_records;
mod watch;

pub use answer_body::AnswerBody;
pub use answer_queue::{ClientGone, answer_queue};
pub use clock::Clock;
pub use instance::{Addresses, Instance};
pub use logs::{LogBuffer, start_writer};
pub use server::{Signals, run};
pub use settings::Settings;
