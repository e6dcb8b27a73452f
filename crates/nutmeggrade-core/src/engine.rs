//! Messages between an instance and a model engine.

mod cache_event;
mod engine_status;
mod generate_request;
mod load_report;
mod token;

pub use cache_event::CacheEvent;
pub use engine_status::EngineStatus;
pub use generate_request::GenerateRequest;
pub use load_report::LoadReport;
pub use token::{FinishReason, Token};

/// Path for starting, resuming and canceling generations on an engine.
pub const GENERATIONS_PATH: &str = "/v1/generations";
/// Path of an engine's load report, which lags behind the actual load.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of an engine's cache events; the query gives the number after which they start.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
