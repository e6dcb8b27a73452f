//! A fake platform: versioned objects, watches, and an endpoint list with a configurable lag.

mod faults;
mod server;
mod store;

pub use faults::Faults;
pub use server::serve;
pub use store::Store;
