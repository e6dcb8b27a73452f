//! Orders to engines: read from the platform, sent by the owner, and confirmed by the engine's
//! state.

mod engine;
mod owner;
mod watch;
mod weights;

pub use owner::run as run_owner;
pub use watch::run as watch_orders;
