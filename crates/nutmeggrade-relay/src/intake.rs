//! Receives clients' connections and requests within the memory of the instance.
//!
//! Both interfaces and all addresses of an instance share one [`MemoryBudget`]. A connection's
//! [`ConnectionMemory`] accounts for what the connection holds: [`MeteredStream`] for its buffers and
//! heads, [`read_body`] for bodies, [`TrackedBody`] for the end of a response.

mod body_buffer;
mod body_reader;
mod connection_limit;
mod connection_memory;
mod log_limiter;
mod memory_budget;
mod memory_metrics;
mod metered_stream;
mod socket;
mod tracked_body;

pub use body_buffer::BodyBuffer;
pub use body_reader::{BodyError, discard_body, read_body};
pub use connection_limit::{AdmittedConnection, ConnectionLimit};
pub use connection_memory::{ConnectionMemory, RESPONSE_QUEUE_BYTES};
pub use memory_budget::MemoryBudget;
pub use memory_metrics::MemoryMetrics;
pub use metered_stream::MeteredStream;
pub use socket::bind;
pub use tracked_body::TrackedBody;
