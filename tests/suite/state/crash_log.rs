//! The log of requests that crash endpoints.

use std::time::Duration;

use nutmeggrade_core::peer::EndpointCrash;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::crash_log::CrashLog;

fn crashed(request: u8, endpoint: u8, born: u64) -> EndpointCrash {
    let endpoint = EndpointId::new(&format!("e-{endpoint}")).expect("an id");
    EndpointCrash { request: [request; 16], endpoint, born }
}

const NOW: Moment = Moment::from_millis(1_000);

// Guards against a request that crashes endpoint after endpoint: the third crash holds it, with
// duplicate reports counted once, and requests that ran beside it once are not held.
#[test]
fn third_crash_holds_the_request() {
    let mut log = CrashLog::new();
    for endpoint in [1, 1, 2] {
        log.note(&crashed(7, endpoint, 5), NOW);
        log.note(&crashed(endpoint, endpoint, 5), NOW);
        assert!(!log.holds(&[7; 16], NOW));
    }
    log.note(&crashed(7, 3, 5), NOW);
    assert!(log.holds(&[7; 16], NOW));
    assert!(!log.holds(&[1; 16], NOW));
}

// Guards against crashes that go uncounted because the endpoint restarted under the same id.
#[test]
fn each_incarnation_of_an_endpoint_counts() {
    let mut log = CrashLog::new();
    for born in 1..=3 {
        log.note(&crashed(7, 1, born), NOW);
    }
    assert!(log.holds(&[7; 16], NOW));
}

// Guards against a request that is held forever after its last crash.
#[test]
fn request_is_tried_again() {
    let mut log = CrashLog::new();
    for endpoint in 1..=3 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    assert!(!log.holds(&[7; 16], NOW.after(Duration::from_mins(3))));
}
