//! Cold and returning engines.

use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::cold_watch::ColdWatch;
use nutmeggrade_policy::room_lottery::RoomLottery;
use nutmeggrade_policy::slow_start::SlowStart;
use nutmeggrade_policy::unreported::UnreportedAdmissions;
use nutmeggrade_policy::{End, Engine, Ticket, Verdict};

use super::{ask, endpoint, engine, scheduler, warm};

const SECOND: Duration = Duration::from_secs(1);

// A warm engine restarts and says nothing. Its streams slow down threefold; the next request would
// make it fall over and take all of them along.
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
        // A prompt is read now and then.
        let gap = if number % 20 < 2 { 40 } else { 14 };
        assert!(!step(gap, &mut watch), "step {number}");
    }
    let noticed = (1..10).find(|_| step(42, &mut watch));
    assert!(noticed.is_some_and(|n| n <= 5), "{noticed:?}");
}

// The engine failed a request. Its last report, made before, still says that it is warm.
#[test]
fn failed_engine_is_left_alone_until_it_reports_anew() {
    let mut scheduler = scheduler(1);
    assert!(matches!(scheduler.ask(&ask(1, false), Moment::ZERO), Verdict::Go { .. }));
    scheduler.end(Ticket(1), End::Failed, Moment::from_millis(1_000));
    let old = LoadReport { age: SECOND, ..warm(0) };
    scheduler.report(&endpoint(0), &old, Moment::from_millis(1_500));
    assert_eq!(scheduler.ask(&ask(2, false), Moment::from_millis(1_501)), Verdict::Wait);
    let fresh = LoadReport { age: SECOND, ..warm(0) };
    scheduler.report(&endpoint(0), &fresh, Moment::from_millis(2_500));
    assert_eq!(scheduler.release(Moment::from_millis(2_501)).len(), 1);
}

// A cold engine bears two. Only the instance with the right sends there, and counts what others run.
#[test]
fn cold_engine_gets_what_the_right_allows() {
    let mut scheduler = scheduler(1);
    let cold = LoadReport { cold: true, ..warm(0) };
    scheduler.report(&endpoint(0), &cold, Moment::ZERO);
    assert_eq!(scheduler.ask(&ask(1, false), Moment::ZERO), Verdict::Wait);
    let owner = Engine { cold_right: 2, ..engine(0) };
    scheduler.set_engines(&[owner], Moment::ZERO);
    for number in 2..9 {
        scheduler.ask(&ask(number, false), Moment::ZERO);
    }
    assert_eq!(scheduler.release(Moment::from_millis(7)).len(), 2);
    assert!(scheduler.release(Moment::from_millis(14)).is_empty());
}

// A failure domain returns. All would go to its empty engines at once; the limit doubles instead.
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

// Seven instances see the room of one answer in the same report.
#[test]
fn scarce_room_goes_to_as_many_as_fit() {
    let windows = 400;
    let mut wins = 0;
    for node in 0..7 {
        let lots = RoomLottery::new(node, &endpoint(3));
        let won = |w: &u64| lots.win(1.0, 1.0, 7, Moment::from_millis(w * 250));
        wins += (0..windows).filter(won).count();
        assert!(lots.win(7.0, 1.0, 7, Moment::ZERO), "room for all needs no lot");
    }
    assert!((300..500).contains(&wins), "{wins} in {windows} windows");
}

// What an instance let in stands for what its peers let in until reports show it.
#[test]
fn unseen_admissions_fade() {
    let mut unseen = UnreportedAdmissions::new();
    unseen.add(100.0, Moment::from_millis(1_000));
    let at = |ms, age| unseen.estimate(age, Moment::from_millis(ms));
    assert!((at(1_000, Duration::ZERO) - 100.0).abs() < 1e-9);
    assert!(at(4_000, Duration::ZERO) < 2.0);
    assert!(at(4_000, SECOND * 3) > 30.0, "old reports show it later");
}

// A failure domain is out for half an hour and returns warm and empty. Work must not all go there at
// once; an engine that never left gets its usual part meanwhile.
#[test]
fn returned_engine_gets_little_at_first() {
    let mut scheduler = scheduler(2);
    scheduler.set_engines(&[engine(0)], Moment::from_millis(1_000));
    let back = 1_800_000;
    scheduler.set_engines(&[engine(0), engine(1)], Moment::from_millis(back));
    let mut counts = [0, 0];
    for ticket in 0..30 {
        let now = Moment::from_millis(back + 10 * ticket);
        if let Verdict::Go { endpoint: id, .. } = scheduler.ask(&ask(ticket, false), now) {
            counts[usize::from(id == endpoint(1))] += 1;
        }
        scheduler.token(Ticket(ticket), now);
    }
    assert!(counts[1] <= 4 && counts[0] >= 20, "{counts:?}");
}
