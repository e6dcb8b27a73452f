//! How far roll-outs go.

use std::time::Duration;

use nutmeggrade_core::rollout::{Outcome, RolloutPhase, RolloutTally};
use nutmeggrade_policy::rollout::{
    Capacity, ExposureBound, Judge, RolloutDecision, RolloutInputs, Verdict, canary_endpoints,
    compare, tail,
};
use rstest::rstest;

const BOUND: ExposureBound = ExposureBound { share: 0.1, tolerance: 50.0 };

/// Answers of one version: how many, how many of them fail, how many take four times as long.
type Answers = (u32, u32, u32);

fn add(tally: &mut RolloutTally, route: &str, is_new: bool, (count, failed, slow): Answers) {
    for number in 0..count {
        let outcome = if number < failed {
            Outcome::Failed
        } else {
            let times = if number < failed + slow { 4 } else { 1 };
            Outcome::FirstResponse(Duration::from_millis(u64::from(40 + number % 50) * times))
        };
        tally.add(route, is_new, outcome);
    }
    tally.requests += count;
    tally.exposed += if is_new { count } else { 0 };
}

fn tally(old: Answers, new: Answers) -> RolloutTally {
    let mut tally = RolloutTally::default();
    add(&mut tally, "lookups", false, old);
    add(&mut tally, "lookups", true, new);
    tally
}

#[rstest]
fn tail_is_exact() {
    assert!((tail(1, 2, 0.5) - 0.75).abs() < 1e-9);
    assert!((tail(3, 3, 0.1) - 0.001).abs() < 1e-9);
    assert!((tail(0, 9, 0.3) - 1.0).abs() < 1e-9);
    assert!((tail(2, 10, 0.5) - (1.0 - 11.0 / 1_024.0)).abs() < 1e-9);
    assert!(tail(600, 1_000, 0.5) < 1e-8);
}

/// Checks what evidence says of a version.
fn judges(old: Answers, new: Answers, expected: &str) {
    assert_eq!(compare(&tally(old, new)).as_str(), expected);
}

cases! {judges {
    as_good: (600, 12, 0), (40, 1, 0), "good";
    better: (600, 60, 60), (40, 0, 0), "good";
    failing: (600, 12, 0), (40, 14, 0), "bad";
    failing_always: (600, 12, 0), (8, 8, 0), "bad";
    slow: (600, 12, 0), (40, 0, 22), "bad";
    failing_as_the_old_does: (600, 84, 0), (40, 7, 0), "good";
    perhaps_failing: (600, 12, 0), (30, 4, 0), "suspect";
    known_by_few_answers: (600, 12, 0), (9, 0, 0), "unclear";
}}

// Every second answer of a version streams four times slower, and first events come as before.
#[test]
fn slow_streams_are_noticed() {
    let mut tally = tally((400, 0, 0), (40, 0, 0));
    for number in 0..240_u64 {
        let times = if number >= 200 && number % 2 == 0 { 4 } else { 1 };
        let pace = Duration::from_millis((20 + number % 20) * times);
        tally.add("lookups", number >= 200, Outcome::EventInterval(pace));
    }
    assert_eq!(compare(&tally).as_str(), "bad");
}

// A version fails on one route of two. The other one's answers must not hide it.
#[test]
fn one_bad_route_is_enough() {
    let mut tally = tally((2_000, 40, 0), (200, 4, 0));
    add(&mut tally, "drafts", false, (100, 2, 0));
    add(&mut tally, "drafts", true, (12, 7, 0));
    assert!(matches!(compare(&tally), Verdict::Bad { route, .. } if route == "drafts"));
}

// Too few answers of a route that matters are no ground to call the version good.
#[test]
fn every_route_has_to_be_known() {
    let mut tally = tally((400, 8, 0), (40, 0, 0));
    add(&mut tally, "drafts", false, (400, 8, 0));
    add(&mut tally, "drafts", true, (2, 0, 0));
    assert_eq!(compare(&tally), Verdict::Unclear);
}

#[rstest]
fn watched_endpoints_get_their_usual_load() {
    assert_eq!(canary_endpoints(44, 0.05), 3);
    assert_eq!(canary_endpoints(3, 0.05), 1);
    assert_eq!(canary_endpoints(3, 1.0), 3);
    assert_eq!(canary_endpoints(0, 0.5), 0);
}

/// A service of a hundred requests a second, as those who judge see it.
struct Play {
    judge: Judge,
    facts: RolloutInputs,
    duration: Duration,
}

impl Play {
    fn new(duration: u64) -> Self {
        let duration = Duration::from_secs(duration);
        let capacity =
            Capacity { has_old: true, has_new: true, old_slots: 30, new_slots: 30, running: 9 };
        let facts =
            RolloutInputs { duration, capacity, has_quorum: true, ..RolloutInputs::default() };
        Self { judge: Judge::new(BOUND), facts, duration }
    }

    /// Plays a tenth of a second in which a part of the new version's answers fail.
    fn step(&mut self, fails: f64) -> RolloutDecision {
        let ruling = self.judge.rule(&self.facts);
        self.facts.phase = ruling.phase;
        let share = match ruling.phase {
            RolloutPhase::Canary => ruling.share,
            phase if phase.is_switched() => 1.0,
            _ => 0.0,
        };
        let wanted = (self.facts.age.as_secs_f64() * 100.0 * share) % 1.0;
        let new = (1..=10).filter(|n| f64::from(*n) <= 10.0 * share + wanted).count();
        let new = u32::try_from(new).unwrap_or(0);
        add(&mut self.facts.tally, "lookups", false, (10 - new, 0, 0));
        let exposed = self.facts.tally.exposed;
        let fail = |n: &u32| (f64::from(*n) * fails).fract() < fails;
        let failed = (exposed..exposed + new).filter(fail).count();
        let failed = u32::try_from(failed).unwrap_or(0);
        add(&mut self.facts.tally, "lookups", true, (new, failed, 0));
        self.facts.age += Duration::from_millis(100);
        ruling
    }

    /// Plays until the phase is left; returns the next one and when.
    fn leave(&mut self, phase: RolloutPhase, fails: f64) -> (RolloutPhase, Duration) {
        while self.facts.phase == phase && self.facts.age < self.duration * 3 {
            self.step(fails);
        }
        (self.facts.phase, self.facts.age)
    }

    fn exposed(&self) -> f64 {
        f64::from(self.facts.tally.exposed)
    }

    fn allowed(&self) -> f64 {
        BOUND.of(self.duration.as_secs_f64() * 100.0)
    }
}

// A good version is watched for nearly all of the time, then serves, and the old one stops once nothing runs
// there; all of it within the bound that a bad one has.
#[test]
fn good_version_is_completed_in_time() {
    let mut play = Play::new(20);
    assert_eq!(play.leave(RolloutPhase::Held, 0.0).0, RolloutPhase::Canary);
    let (phase, at) = play.leave(RolloutPhase::Canary, 0.0);
    assert_eq!(phase, RolloutPhase::Switching);
    assert!(at > Duration::from_secs(17), "{at:?}");
    for _ in 0..5 {
        assert_eq!(play.step(0.0).phase, RolloutPhase::Switching);
    }
    play.facts.is_clear = true;
    let (phase, at) = play.leave(RolloutPhase::Switching, 0.0);
    assert_eq!(phase, RolloutPhase::Cleared);
    assert!(at <= play.duration, "{at:?}");
    assert!(play.exposed() <= play.allowed(), "{} of {}", play.exposed(), play.allowed());
}

// A version fails in four of ten answers. It is given up after a handful of them.
#[test]
fn bad_version_is_given_up_early() {
    let mut play = Play::new(20);
    play.leave(RolloutPhase::Held, 0.4);
    assert_eq!(play.leave(RolloutPhase::Canary, 0.4).0, RolloutPhase::Reverting);
    assert!(play.exposed() < play.allowed() / 2.0, "{} of {}", play.exposed(), play.allowed());
}

// A version turns bad after it was good for long. Its good past must not hide it.
#[test]
fn version_that_turns_bad_is_given_up() {
    let mut play = Play::new(40);
    play.leave(RolloutPhase::Held, 0.0);
    while play.facts.age < Duration::from_secs(25) {
        assert_eq!(play.step(0.0).phase, RolloutPhase::Canary);
    }
    let (phase, at) = play.leave(RolloutPhase::Canary, 0.5);
    assert_eq!(phase, RolloutPhase::Reverting);
    assert!(at < Duration::from_secs(35), "{at:?}");
}

// A version is bad only once all requests go to it. The old one still runs then.
#[test]
fn version_that_is_bad_under_load_is_given_up() {
    let mut play = Play::new(20);
    play.leave(RolloutPhase::Held, 0.0);
    assert_eq!(play.leave(RolloutPhase::Canary, 0.0).0, RolloutPhase::Switching);
    play.facts.is_clear = true;
    assert_eq!(play.leave(RolloutPhase::Switching, 0.4).0, RolloutPhase::Reverting);
    assert!(play.exposed() <= play.allowed(), "{} of {}", play.exposed(), play.allowed());
}

/// Checks that a roll-out is given up shortly before its time is over.
fn is_given_up(change: fn(&mut RolloutInputs)) {
    let mut play = Play::new(20);
    change(&mut play.facts);
    play.leave(RolloutPhase::Held, 0.0);
    let (phase, at) = play.leave(RolloutPhase::Canary, 0.0);
    assert_eq!(phase, RolloutPhase::Reverting);
    assert!(at > Duration::from_secs(19) && at <= play.duration, "{at:?}");
}

cases! {is_given_up {
    without_new_endpoints: |f| { f.capacity.new_slots = 0; f.capacity.has_new = false; };
    with_too_few_of_them: |f| f.capacity.new_slots = 4;
}}

// The instance that judges is cut off with a few others. Its side alone must not stop the old version.
#[test]
fn smaller_side_of_a_cut_decides_nothing() {
    let mut play = Play::new(20);
    play.leave(RolloutPhase::Held, 0.0);
    play.facts.has_quorum = false;
    play.facts.is_clear = true;
    for _ in 0..150 {
        let ruling = play.step(0.0);
        assert_eq!((ruling.phase, ruling.share), (RolloutPhase::Canary, 0.0));
    }
    // What is bad on one side is bad.
    add(&mut play.facts.tally, "lookups", true, (20, 12, 0));
    assert_eq!(play.step(0.0).phase, RolloutPhase::Reverting);
}

// Generations have to move before the old engines stop, and each counts as a request that the new version
// gets. Where they are too many for the bound, they wait for the end of the time.
#[test]
fn generations_move_within_the_bound() {
    let mut play = Play::new(12);
    play.facts.movable = 400;
    play.leave(RolloutPhase::Held, 0.0);
    let (phase, at) = play.leave(RolloutPhase::Canary, 0.0);
    assert_eq!(phase, RolloutPhase::Switching);
    assert!(at > play.duration, "{at:?}");
    assert!(play.exposed() <= play.allowed());
}

// The service runs the ordered version alone. There is nothing to watch.
#[test]
fn order_of_the_same_version_is_fulfilled() {
    let mut play = Play::new(20);
    play.facts.capacity.has_old = false;
    play.facts.capacity.old_slots = 0;
    play.leave(RolloutPhase::Held, 0.0);
    let (phase, at) = play.leave(RolloutPhase::Canary, 0.0);
    assert_eq!(phase, RolloutPhase::Cleared);
    assert!(at < Duration::from_secs(4), "{at:?}");
}
