//! Messages between a node and a model engine.

mod cache_event;
mod generate;
mod load_report;
mod standing;
mod token;

pub use cache_event::CacheEvent;
pub use generate::Generate;
pub use load_report::LoadReport;
pub use standing::Standing;
pub use token::{Finish, Token};

/// Path under which an engine starts, resumes and cancels generations.
pub const GENERATIONS_PATH: &str = "/v1/generations";
/// Path of an engine's lagging load report.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of an engine's cache events, after the number in the query.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
