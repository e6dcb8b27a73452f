//! Messages between instances, authenticated with a shared key.

mod beacon;
mod envelope;

pub use beacon::{Beacon, Entry};
pub use envelope::{BadEnvelope, MAX_MESSAGE, WIRE_VERSION, open, seal};
