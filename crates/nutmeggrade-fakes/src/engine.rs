//! A fake model engine.

mod cache_change;
mod cache_log;
mod event;
mod faults;
mod job;
mod model;
mod orders;
mod refusal;
mod server;
mod spec;
mod state;
mod token_stream;

pub use cache_change::CacheChange;
pub use cache_log::CacheLog;
pub use event::Event;
pub use faults::Faults;
pub use job::Job;
pub use model::Model;
pub use orders::Orders;
pub use refusal::Refusal;
pub use server::serve;
pub use spec::Spec;
pub use state::Engine;
