//! The test suite, with a module for each topic.
//!
//! Tests under `process/` start real processes; `cargo build --workspace --bins --examples` builds
//! them, as `./ci` does.

#[macro_use]
mod support;

mod core;
mod docs;
mod fakes;
mod operators;
mod policy;
mod process;
mod random;
mod relay;
mod soak;
mod state;
