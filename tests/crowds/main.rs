//! Crowds of clients that send more than an instance can hold.
//!
//! Each test checks, while a crowd stays connected, that the process lives, that memory and descriptors
//! stay within its settings, and that an ordinary request is answered. The tests run one at a time.

#[path = "../suite/support.rs"]
#[macro_use]
#[allow(dead_code, reason = "the suite uses the other helpers")]
mod support;

mod caller_crowds;
mod relay_crowds;

use std::sync::Mutex;

use support::run;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs an asynchronous test while no other test of this binary runs.
fn run_alone<F: Future<Output = anyhow::Result<()>>>(test: F) {
    // A test that failed leaves nothing that the next one could be disturbed by.
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    run(test);
}
