//! Crowds of clients that send more than an instance can hold, and the processes that they connect to.

mod clients;
mod relay_host;
mod request;
mod usage;

pub use clients::Crowd;
pub use relay_host::{Listener, RelayHost};
pub use request::{CrowdRequest, Framing};
pub use usage::{open_descriptors, peak_memory};
