//! The platform's stand-in: objects with versions, watches, and a lagging list of endpoints.

mod faults;
mod server;
mod store;

pub use faults::Faults;
pub use server::serve;
pub use store::Store;
