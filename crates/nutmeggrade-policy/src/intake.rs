//! What clients may hold of an instance's memory, all together.

mod client_memory;
mod holder;

pub use client_memory::{ClientMemory, MemoryFull};
pub use holder::{HolderId, ListenerId};
