//! Engines in cold start, and engines that return.

use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::cold_watch::ColdWatch;
use nutmeggrade_policy::room_lottery::RoomLottery;
use nutmeggrade_policy::slow_start::SlowStart;
use nutmeggrade_policy::unreported_admissions::UnreportedAdmissions;
use nutmeggrade_policy::{End, Engine, Ticket, Verdict};

use super::{endpoint, engine, request, scheduler, warm_report};

const SECOND: Duration = Duration::from_secs(1);

// Guards against overload of an engine that restarted without notice: its streams slow down
// threefold, and the next request would crash it and all its streams.
#[test]
fn sudden_cold_shows_in_the_streams() {
    let mut watch = ColdWatch::new();
    let mut now = 0;
    let mut step = |gap: u64, watch: &mut ColdWatch| {
        now += gap;
        watch.record_gap(Duration::from_millis(gap), Moment::from_millis(now));
        watch.is_suspect(Moment::from_millis(now))
    };
    for number in 0..400 {
        // A prompt is prefilled now and then.
        let gap = if number % 20 < 2 { 40 } else { 14 };
        assert!(!step(gap, &mut watch), "step {number}");
    }
    let suspect_step = (1..10).find(|_| step(42, &mut watch));
    assert!(suspect_step.is_some_and(|n| n <= 5), "{suspect_step:?}");
}

// Guards against requests to an engine that failed one, because its last report, made before, still
// shows it as warm.
#[test]
fn failed_engine_is_left_alone_until_it_reports_anew() {
    let mut scheduler = scheduler(1);
    assert!(matches!(scheduler.admit(&request(1, false), Moment::ZERO), Verdict::Go { .. }));
    scheduler.end(Ticket(1), End::Failed, Moment::from_millis(1_000));
    let old = LoadReport { age: SECOND, ..warm_report(0) };
    scheduler.report(&endpoint(0), &old, Moment::from_millis(1_500));
    assert_eq!(scheduler.admit(&request(2, false), Moment::from_millis(1_501)), Verdict::Wait);
    let fresh = LoadReport { age: SECOND, ..warm_report(0) };
    scheduler.report(&endpoint(0), &fresh, Moment::from_millis(2_500));
    assert_eq!(scheduler.release(Moment::from_millis(2_501)).len(), 1);
}

// Guards against overload of a cold engine, whose limit is two: only the instance with the right
// sends requests, and it counts those of others.
#[test]
fn cold_engine_gets_what_the_right_allows() {
    let mut scheduler = scheduler(1);
    let cold = LoadReport { cold: true, ..warm_report(0) };
    scheduler.report(&endpoint(0), &cold, Moment::ZERO);
    assert_eq!(scheduler.admit(&request(1, false), Moment::ZERO), Verdict::Wait);
    let owner = Engine { cold_right: 2, ..engine(0) };
    scheduler.set_engines(&[owner], Moment::ZERO);
    for number in 2..9 {
        scheduler.admit(&request(number, false), Moment::ZERO);
    }
    assert_eq!(scheduler.release(Moment::from_millis(7)).len(), 2);
    assert!(scheduler.release(Moment::from_millis(14)).is_empty());
}

// Guards against a burst at the empty engines of a returning failure domain: their limit starts low
// and doubles.
#[test]
fn returning_engine_ramps_up() {
    let mut ramp = SlowStart::new();
    assert_eq!(ramp.limit(SECOND, Moment::ZERO), None);
    ramp.begin(Moment::from_millis(5_000));
    let at = |ms| ramp.limit(SECOND, Moment::from_millis(ms));
    assert_eq!(at(5_000), Some(3.0));
    assert_eq!(at(7_000), Some(12.0));
    assert_eq!(at(11_000), None);
}

// Guards against seven instances that each use the room for one response that the same report
// shows.
#[test]
fn scarce_room_goes_to_as_many_as_fit() {
    let windows = 400;
    let mut wins = 0;
    for node in 0..7 {
        let lottery = RoomLottery::new(node, &endpoint(3));
        let won = |w: &u64| lottery.win(1.0, 1.0, 7, Moment::from_millis(w * 250));
        wins += (0..windows).filter(won).count();
        assert!(lottery.win(7.0, 1.0, 7, Moment::ZERO), "room for all needs no lottery");
    }
    assert!((300..500).contains(&wins), "{wins} in {windows} windows");
}

// Guards against admissions of peers that go uncounted: an instance's own admissions stand in for
// them until reports include them.
#[test]
fn unseen_admissions_fade() {
    let mut unreported = UnreportedAdmissions::new();
    unreported.add(100.0, Moment::from_millis(1_000));
    let at = |ms, age| unreported.estimate(age, Moment::from_millis(ms));
    assert!((at(1_000, Duration::ZERO) - 100.0).abs() < 1e-9);
    assert!(at(4_000, Duration::ZERO) < 2.0);
    assert!(at(4_000, SECOND * 3) > 30.0, "old reports include it later");
}

// Guards against a burst at engines that return warm and empty after half an hour: they get little
// at first, and an engine that stayed gets its usual share.
#[test]
fn returned_engine_gets_little_at_first() {
    let mut scheduler = scheduler(2);
    scheduler.set_engines(&[engine(0)], Moment::from_millis(1_000));
    let returned_ms = 1_800_000;
    scheduler.set_engines(&[engine(0), engine(1)], Moment::from_millis(returned_ms));
    let mut counts = [0, 0];
    for ticket in 0..30 {
        let now = Moment::from_millis(returned_ms + 10 * ticket);
        if let Verdict::Go { endpoint: id, .. } = scheduler.admit(&request(ticket, false), now) {
            counts[usize::from(id == endpoint(1))] += 1;
        }
        scheduler.token(Ticket(ticket), now);
    }
    assert!(counts[1] <= 4 && counts[0] >= 20, "{counts:?}");
}
