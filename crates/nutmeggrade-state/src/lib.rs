//! Tables and state machines of an instance: what it knows and which rights it holds.
//!
//! Nothing here does I/O or reads a clock: events and `now` go in, actions come out. The instance
//! runs the tables on its workers; a randomised test runs several instances' tables on one thread.

pub mod claiming;
pub mod config_table;
pub mod delivery;
pub mod endpoint_table;
pub mod fence;
pub mod intent;
pub mod invariant;
pub mod membership;
pub mod orphans;
pub mod own_intents;
pub mod recorded;
pub mod settling;
pub mod suspects;
