//! The log of requests that crash endpoints.

use std::time::Duration;

use nutmeggrade_core::peer::{EndpointCrash, PartKey, RequestSuspects};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::crash_log::CrashLog;

fn crashed(request: u8, endpoint: u8, born: u64) -> EndpointCrash {
    let endpoint = EndpointId::new(&format!("e-{endpoint}")).expect("an id");
    let (parts, alive) = (Vec::new(), Duration::ZERO);
    EndpointCrash { request: [request; 16], endpoint, born, parts, alive }
}

fn suspects(request: u8, parts: &[u64]) -> RequestSuspects {
    RequestSuspects::new([request; 16], parts.iter().map(|part| key(*part)).collect())
}

fn key(part: u64) -> PartKey {
    let service = ServiceId::new("writers").expect("an id");
    PartKey::new(&service, &ModelId::new("m").expect("an id"), part)
}

fn is_held(log: &mut CrashLog, request: u8, now: Moment) -> bool {
    log.holds(&suspects(request, &[]), now).is_some()
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
        assert!(!is_held(&mut log, 7, NOW));
    }
    log.note(&crashed(7, 3, 5), NOW);
    assert!(is_held(&mut log, 7, NOW));
    assert!(!is_held(&mut log, 1, NOW));
}

// Guards against crashes that go uncounted because the endpoint restarted under the same id.
#[test]
fn each_incarnation_of_an_endpoint_counts() {
    let mut log = CrashLog::new();
    for born in 1..=3 {
        log.note(&crashed(7, 1, born), NOW);
    }
    assert!(is_held(&mut log, 7, NOW));
}

// Guards against a request that is held forever after its last crash.
#[test]
fn request_is_tried_again() {
    let mut log = CrashLog::new();
    for endpoint in 1..=3 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    assert!(!is_held(&mut log, 7, NOW.after(Duration::from_mins(3))));
}

fn note_losses(log: &mut CrashLog, endpoints: std::ops::RangeInclusive<u8>, now: Moment) {
    for endpoint in endpoints {
        log.note_loss(&crashed(7, endpoint, 5), now);
    }
}

// Guards against crashes that are forgotten because the instance reached no other endpoint.
#[test]
fn loss_counts_once_its_endpoint_has_ended() {
    let mut log = CrashLog::new();
    note_losses(&mut log, 1..=3, NOW);
    assert!(!is_held(&mut log, 7, NOW));
    let first = EndpointId::new("e-1").expect("an id");
    assert_eq!(log.settle(|id, _| *id == first, NOW), vec![(crashed(7, 1, 5), 1)]);
    assert_eq!(log.settle(|id, _| *id == first, NOW), vec![]);
    assert_eq!(log.settle(|_, _| true, NOW).len(), 2);
    assert!(is_held(&mut log, 7, NOW));
}

// Guards against endpoints that ended long after they lost a request and count as crashed by it.
#[test]
fn old_loss_does_not_count() {
    let mut log = CrashLog::new();
    note_losses(&mut log, 1..=3, NOW);
    assert_eq!(log.settle(|_, _| true, NOW.after(Duration::from_secs(31))), vec![]);
}

// Guards against holding a popular request that ran at several endpoints as they failed together.
#[test]
fn request_that_completed_is_not_held_by_one_common_failure() {
    let mut log = CrashLog::new();
    log.note_completed(&suspects(7, &[]), NOW);
    let later = |seconds| NOW.after(Duration::from_secs(seconds));
    for endpoint in 1..=5 {
        log.note(&crashed(7, endpoint, 5), later(10));
    }
    assert!(!is_held(&mut log, 7, later(11)));
    for (endpoint, seconds) in [(6, 20), (7, 30)] {
        log.note(&crashed(7, endpoint, 5), later(seconds));
    }
    assert!(is_held(&mut log, 7, later(31)));
}

// Guards against crashes that still count against a request which endpoints complete.
#[test]
fn completed_request_is_cleared() {
    let mut log = CrashLog::new();
    for endpoint in 1..=2 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    log.note_completed(&suspects(7, &[]), NOW);
    log.note(&crashed(7, 3, 5), NOW);
    assert!(!is_held(&mut log, 7, NOW));
}

// Guards against requests that an instance sends on which has just started or missed a message.
#[test]
fn crashes_are_learnt_from_heartbeats() {
    let later = |seconds| NOW.after(Duration::from_secs(seconds));
    let mut log = CrashLog::new();
    log.note(&crashed(9, 1, 5), NOW);
    assert_eq!(log.shared(4, NOW), vec![]);
    for endpoint in 1..=6 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    let mut other = CrashLog::new();
    for _ in 0..3 {
        for shared in log.shared(2, later(10)) {
            other.note_shared(&shared, NOW);
        }
    }
    assert!(is_held(&mut other, 7, NOW));
    assert_eq!(other.shared(9, NOW).len(), 6);
}

// Guards against a request that isn't blocked because many others were at endpoints that failed.
#[test]
fn full_log_keeps_the_requests_with_most_crashes() {
    let mut log = CrashLog::new();
    for endpoint in 1..=2 {
        log.note(&crashed(7, endpoint, 5), NOW);
    }
    for number in 0..3_000_u32 {
        let mut crash = crashed(0, 9, 5);
        crash.request[..4].copy_from_slice(&number.to_le_bytes());
        log.note(&crash, NOW.after(Duration::from_secs(1)));
    }
    log.note(&crashed(7, 3, 5), NOW.after(Duration::from_secs(2)));
    assert!(is_held(&mut log, 7, NOW.after(Duration::from_secs(2))));
}

// Guards against a popular request that is held everywhere because an instance which seldom gets it
// repeats crashes from before it was completed.
#[test]
fn shared_crash_from_before_a_completion_does_not_count() {
    let later = |seconds| NOW.after(Duration::from_secs(seconds));
    let mut idle = CrashLog::new();
    for (endpoint, seconds) in [(1, 0), (2, 10), (3, 20)] {
        idle.note(&crashed(7, endpoint, 5), later(seconds));
    }
    let mut busy = CrashLog::new();
    busy.note_completed(&suspects(7, &[]), later(15));
    for shared in idle.shared(9, later(30)) {
        busy.note_shared(&shared, later(30));
    }
    assert_eq!(busy.shared(9, later(30)), vec![]);
    assert!(!is_held(&mut busy, 7, later(30)));
    let counted = busy.note(&crashed(7, 4, 5), later(31));
    assert_eq!(counted, Some(2));
}

// Guards against blocks that instances keep alive by telling each other of the same crashes.
#[test]
fn shared_crashes_expire() {
    let later = |seconds| NOW.after(Duration::from_secs(seconds));
    let mut logs = [CrashLog::new(), CrashLog::new()];
    for endpoint in 1..=3 {
        logs[0].note(&crashed(7, endpoint, 5), NOW);
    }
    for second in 0..300 {
        for from in 0..2 {
            for shared in logs[from].shared(4, later(second)) {
                logs[1 - from].note_shared(&shared, later(second));
            }
        }
        let is_blocked = second < 120;
        assert_eq!(is_held(&mut logs[1], 7, later(second)), is_blocked, "{second}");
    }
}
