//! Messages between instances, authenticated with a shared key.

mod beacon;
mod envelope;
mod suspect;

pub use beacon::{Beacon, Entry};
pub use envelope::{BadEnvelope, MAX_MESSAGE, WIRE_VERSION, open, seal};
pub use suspect::{Crash, PromptHash, Suspect};
