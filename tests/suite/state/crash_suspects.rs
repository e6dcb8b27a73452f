//! Which of all that ran at crashing endpoints is held.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::peer::{CrashSuspect, EndpointCrash, PartKey, RequestSuspects};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::crash_log::CrashLog;
use nutmeggrade_state::running_answers::RunningAnswers;

const CULPRIT: u64 = 1;
const SYSTEM: u64 = 2;
const SESSION: u64 = 3;

fn key(part: u64) -> PartKey {
    let service = ServiceId::new("writers").expect("an id");
    PartKey::new(&service, &ModelId::new("m").expect("an id"), part)
}

fn suspects(request: u8, parts: &[u64]) -> RequestSuspects {
    RequestSuspects::new([request; 16], parts.iter().map(|part| key(*part)).collect())
}

fn after(millis: u64) -> Moment {
    Moment::from_millis(600_000 + millis)
}

/// Records that an endpoint crashed under a request, some time after it began to answer.
fn crash(log: &mut CrashLog, endpoint: usize, request: u8, parts: &[u64], alive: u64, now: Moment) {
    let RequestSuspects { request, parts } = suspects(request, parts);
    let endpoint = EndpointId::new(&format!("e-{endpoint}")).expect("an id");
    let alive = Duration::from_millis(alive);
    log.note(&EndpointCrash { request, endpoint, born: 1, parts, alive }, now);
}

fn is_held(log: &mut CrashLog, part: u64, now: Moment) -> bool {
    log.holds(&suspects(99, &[part]), now).is_some()
}

// Guards against holding what all requests share, or what ran beside the culprit, in its place.
#[test]
fn culprit_is_held_and_its_neighbours_are_not() {
    let mut log = CrashLog::new();
    log.note_completed(&suspects(50, &[SYSTEM]), after(0));
    for n in 0..3_u8 {
        let now = after(1_000 + 300 * u64::from(n));
        crash(&mut log, n.into(), n, &[SYSTEM, CULPRIT], 80, now);
        crash(&mut log, n.into(), 20 + n, &[SYSTEM, SESSION], 2_000, now);
        crash(&mut log, n.into(), 60, &[SYSTEM], 900, now);
    }
    // Up to here the three have the same crashes.
    crash(&mut log, 3, 3, &[SYSTEM, CULPRIT], 80, after(2_000));
    let now = after(2_001);
    assert!(is_held(&mut log, CULPRIT, now));
    assert!(!is_held(&mut log, SYSTEM, now));
    assert!(!is_held(&mut log, SESSION, now));
    assert_eq!(log.holds(&suspects(60, &[]), now), None);
    assert_eq!(
        log.holds(&suspects(77, &[SYSTEM, CULPRIT]), now),
        Some(CrashSuspect::Part(key(CULPRIT)))
    );
}

// Guards against holding the parts of a request that crashes endpoints as a whole: others may have them.
#[test]
fn request_goes_before_its_parts() {
    let mut log = CrashLog::new();
    for n in 0..3 {
        crash(&mut log, n, 7, &[SESSION], 80, after(300 * n as u64));
    }
    assert!(log.holds(&suspects(7, &[SESSION]), after(700)).is_some());
    assert!(!is_held(&mut log, SESSION, after(700)));
}

// Guards against holding a part that a crashing request shares with requests which ran at endpoints as
// another request crashed them.
#[test]
fn part_of_a_crashing_request_is_not_held_for_crashes_of_another() {
    let mut log = CrashLog::new();
    for n in 0..4_u8 {
        let now = after(400 * u64::from(n));
        crash(&mut log, n.into(), 7, &[SYSTEM], 80, now);
        crash(&mut log, 10 + usize::from(n), 8, &[SESSION], 80, after(3_000 + 400 * u64::from(n)));
    }
    crash(&mut log, 3, 30, &[SESSION], 1_100, after(1_200));
    let now = after(5_000);
    for request in [7, 8] {
        assert!(log.holds(&suspects(request, &[]), now).is_some());
    }
    assert!(!is_held(&mut log, SESSION, now));
}

/// Checks whether a part is held that was never completed and that several endpoints were running as
/// they ended.
fn ended_together(gap: u64, alive: u64, expected: bool) {
    let mut log = CrashLog::new();
    for n in 0..6_u8 {
        crash(&mut log, n.into(), n, &[SESSION], alive, after(gap * u64::from(n)));
    }
    assert_eq!(is_held(&mut log, SESSION, after(6 * gap + 300)), expected);
}

// Guards against holding a part because a failure domain lost power, and against missing a culprit whose
// crashes follow each other as fast.
cases! {ended_together {
    one_cause: 20, 2_000, false;
    one_after_the_other: 100, 80, true;
    apart: 400, 2_000, true;
}}

/// Returns a log in which a part has crashed two endpoints, each after this time.
fn suspected(alive: u64) -> CrashLog {
    let mut log = CrashLog::new();
    for n in 0..2_u8 {
        crash(&mut log, n.into(), n, &[SESSION], alive, after(400 * u64::from(n)));
    }
    log
}

/// Checks whether an answer that goes on for some time clears its part.
fn survivor(alive: u64, lived: u64, expected: usize) {
    let mut log = suspected(alive);
    let mut running = RunningAnswers::new();
    running.begin(1, Arc::new(suspects(9, &[SESSION])), after(1_000));
    running.progress(1, after(1_000 + lived));
    let refuted = log.take_refutations(&running, after(9_000));
    assert_eq!(refuted.len(), expected);
    let mut peer = suspected(alive);
    for refutation in &refuted {
        peer.note_refuted(refutation, after(9_001));
    }
    for log in [&mut log, &mut peer] {
        crash(log, 5, 5, &[SESSION], alive, after(9_500));
        assert_eq!(is_held(log, SESSION, after(9_600)), expected == 0);
    }
}

// Guards against holding a part whose answers go on, and against clearing one whose answers go on for
// a while before they crash their endpoint.
cases! {survivor {
    goes_on: 80, 1_500, 1;
    just_begun: 80, 500, 0;
    crashes_late: 3_000, 5_000, 0;
}}

// Guards against a part that is held at instances which never complete it, though others do.
#[test]
fn completion_clears_a_part_at_peers() {
    let mut log = suspected(80);
    assert!(log.take_refutations(&RunningAnswers::new(), after(900)).is_empty());
    log.note_completed(&suspects(9, &[SESSION]), after(1_000));
    // The crashes are cleared here, but are told again by a peer that doesn't know.
    let mut peer = suspected(80);
    for shared in peer.shared_parts(9, after(1_100)) {
        assert_eq!(log.note_shared_part(&shared, after(1_100)), None);
    }
    for n in 2..4_u8 {
        crash(&mut log, n.into(), n, &[SESSION], 80, after(1_200 + u64::from(n)));
    }
    let refuted = log.take_refutations(&RunningAnswers::new(), after(1_300));
    assert_eq!(refuted.len(), 1);
    assert!(log.take_refutations(&RunningAnswers::new(), after(1_400)).is_empty());
    peer.note_refuted(&refuted[0], after(1_301));
    crash(&mut peer, 5, 5, &[SESSION], 80, after(1_400));
    assert!(!is_held(&mut peer, SESSION, after(1_500)));
}

// Guards against holding what many requests share at an instance that has not completed any of them,
// before its peers can say that they have.
#[test]
fn part_is_held_only_once_peers_could_clear_it() {
    let mut log = CrashLog::new();
    for n in 0..3_u8 {
        crash(&mut log, n.into(), n, &[SESSION], 10, after(20 * u64::from(n)));
    }
    assert!(!is_held(&mut log, SESSION, after(60)));
    assert!(is_held(&mut log, SESSION, after(400)));
}

// Guards against a part that takes down as many endpoints again each time its hold ends.
#[test]
fn one_crash_holds_again_after_a_hold() {
    let mut log = CrashLog::new();
    for n in 0..3_u8 {
        crash(&mut log, n.into(), n, &[CULPRIT], 80, after(400 * u64::from(n)));
    }
    assert!(is_held(&mut log, CULPRIT, after(1_000)));
    assert!(!is_held(&mut log, CULPRIT, after(121_000)));
    crash(&mut log, 9, 9, &[CULPRIT], 80, after(122_000));
    assert!(is_held(&mut log, CULPRIT, after(122_001)));
    assert!(is_held(&mut log, CULPRIT, after(122_000 + 200_000)));
    assert!(!is_held(&mut log, CULPRIT, after(122_000 + 241_000)));
}

// Guards against missing one of two parts that crash endpoints at the same time.
#[test]
fn two_culprits_are_both_held() {
    let mut log = CrashLog::new();
    for n in 0..6_u8 {
        let part = if n % 2 == 0 { CULPRIT } else { SESSION };
        crash(&mut log, n.into(), n, &[part], 80, after(300 * u64::from(n)));
    }
    assert!(is_held(&mut log, CULPRIT, after(2_000)));
    assert!(is_held(&mut log, SESSION, after(2_000)));
}

// Guards against a part that counts several times because a prompt names it several times.
#[test]
fn repeated_parts_count_once() {
    assert_eq!(suspects(1, &[5, 6, 5, 5]).parts.len(), 2);
}
