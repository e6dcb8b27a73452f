//! A fake plain service that counts the calls it ran.

mod faults;
mod server;

pub use faults::Faults;
pub use server::serve;
