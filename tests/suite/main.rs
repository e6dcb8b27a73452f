//! The test suite: a module per topic.
//!
//! Tests under `process/` start real processes; `cargo build --workspace --bins --examples` builds
//! them, as `./ci` does.

#[macro_use]
mod support;

mod core;
mod docs;
mod operators;
mod policy;
mod process;
mod random;
mod relay;
mod soak;
mod stand_ins;
mod state;
