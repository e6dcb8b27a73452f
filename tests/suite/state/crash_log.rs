//! Requests under which endpoints die.

use std::time::Duration;

use nutmeggrade_core::peer::EndpointCrash;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::crash_log::CrashLog;

fn crashed(request: u8, endpoint: u8, born: u64) -> EndpointCrash {
    let endpoint = EndpointId::new(&format!("e-{endpoint}")).expect("an id");
    EndpointCrash { request: [request; 16], endpoint, born }
}

const NOW: Moment = Moment::from_millis(1_000);

// A request takes down three endpoints, told by three instances, one of them twice. From then on it
// is held back; those that were beside it once are not.
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

// The same endpoint comes back under its id and dies again; each life counts.
#[test]
fn lives_under_one_id_count() {
    let mut log = CrashLog::new();
    for born in 1..=3 {
        log.note(&crashed(7, 1, born), NOW);
    }
    assert!(log.holds(&[7; 16], NOW));
}

// Long after the last crash the request is tried again.
#[test]
fn request_is_tried_again() {
    let mut log = CrashLog::new();
    for endpoint in 1..=3 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    assert!(!log.holds(&[7; 16], NOW.after(Duration::from_mins(3))));
}
