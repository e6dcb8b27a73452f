//! Invariants that are checked at run time.

use std::collections::BTreeMap;
use std::sync::Mutex;

static VIOLATIONS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// Counts a violated invariant; in a debug build, as used by the tests, it panics.
///
/// If a serving instance panicked on each violation, a wrong count would become an outage. A
/// release build only counts the violation in a metric that must stay at zero.
#[track_caller]
pub fn check(holds: bool, name: &'static str) {
    if holds {
        return;
    }
    if let Ok(mut violations) = VIOLATIONS.lock() {
        *violations.entry(name).or_default() += 1;
    }
    debug_assert!(holds, "invariant broken: {name}");
}

/// Returns the number of violations of each invariant since the process started.
pub fn broken() -> BTreeMap<&'static str, u64> {
    VIOLATIONS.lock().map(|b| b.clone()).unwrap_or_default()
}
