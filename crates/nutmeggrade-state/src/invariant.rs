//! Invariants that are asserted while the program runs.

use std::collections::BTreeMap;
use std::sync::Mutex;

static BROKEN: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// Counts a broken invariant; in a debug build, which tests use, it is fatal.
///
/// A serving instance that stopped on every broken invariant would turn a wrong count into an
/// outage, so there the break is counted and shown as a metric that must stay at zero.
#[track_caller]
pub fn check(holds: bool, name: &'static str) {
    if holds {
        return;
    }
    if let Ok(mut broken) = BROKEN.lock() {
        *broken.entry(name).or_default() += 1;
    }
    debug_assert!(holds, "invariant broken: {name}");
}

/// Returns how often each invariant was broken since the process started.
pub fn broken() -> BTreeMap<&'static str, u64> {
    BROKEN.lock().map(|b| b.clone()).unwrap_or_default()
}
