//! The plain service's stand-in: counts what it ran.

mod faults;
mod server;

pub use faults::Faults;
pub use server::serve;
