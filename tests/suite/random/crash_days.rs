//! Drawn days in virtual time on which endpoints crash, at several instances that tell each other what
//! ran there.

mod world;

use self::world::{Day, Outcome, Trouble, World};

/// Plays a day with so many seeds, and with more of them in long runs.
fn play(day: Day, seeds: u64) -> impl Iterator<Item = (u64, Outcome)> {
    let steps = super::env_number("NUTMEGGRADE_LONG").unwrap_or(0);
    let seeds = seeds * (steps / u64::from(super::SHORT_RUN_STEPS)).max(1);
    (0..seeds).map(move |seed| (seed, World::new(day, seed).play()))
}

/// Checks that all days hold to a promise, after all of them were played and summed up.
fn check(day: Day, seeds: u64, holds: impl Fn(&Outcome) -> bool) {
    let outcomes: Vec<(u64, Outcome)> = play(day, seeds).collect();
    let sum =
        |figure: fn(&Outcome) -> usize| outcomes.iter().map(|(_, o)| figure(o)).sum::<usize>();
    let mut crashes: Vec<usize> = outcomes.iter().map(|(_, o)| o.crashes).collect();
    crashes.sort_unstable();
    let broken: Vec<_> = outcomes.iter().filter(|(_, o)| !holds(o)).collect();
    println!(
        "{:?}: {} days, {} broken; crashes {} (median) to {}; of {} sound requests after the fifth {} \
         refused, in the whole days {}",
        day.trouble,
        outcomes.len(),
        broken.len(),
        crashes[crashes.len() / 2],
        crashes[crashes.len() - 1],
        sum(|o| o.sound),
        sum(|o| o.refused),
        sum(|o| o.all_refused)
    );
    assert!(broken.is_empty(), "seeds and outcomes: {broken:?}");
}

/// Checks days on which a part crashes endpoints.
fn culprit_is_found(day: Day, seeds: u64) {
    check(day, seeds, |o| o.late_sends <= 3 && o.refused * 20 <= o.sound);
}

const fn part(per_s: f64, delay_ms: (u64, u64)) -> Trouble {
    Trouble::Part { per_s, delay_ms }
}

const fn day(instances: usize, endpoints: usize, trouble: Trouble) -> Day {
    Day { instances, endpoints, seconds: 45, trouble }
}

// Guards against a part that crashes endpoints on after it could be told from its neighbours, and against
// sound requests that are refused in its place.
cases! {culprit_is_found {
    seldom: day(7, 12, part(1.0, (80, 80))), 10;
    often: day(7, 12, part(8.0, (80, 80))), 10;
    in_a_crowd: day(7, 12, part(40.0, (50, 200))), 10;
    late: day(7, 12, part(1.0, (1_500, 1_500))), 10;
    at_any_time: day(7, 12, part(1.0, (50, 5_000))), 10;
    large_fleet: day(70, 44, part(2.0, (80, 80))), 2;
    three_hundred: day(300, 100, part(2.0, (80, 80))), 1;
}}

// Guards against a part that takes more than five endpoints though its requests come one by one.
#[test]
fn seldom_culprit_ends_five_endpoints_at_most() {
    check(day(7, 12, part(0.7, (80, 80))), 10, |o| o.crashes <= 5);
}

/// Checks days on which endpoints crash for other reasons.
fn nothing_is_held(trouble: Trouble) {
    check(day(7, 12, trouble), 20, |o| o.all_refused == 0);
}

// Guards against refusing sound requests because endpoints crash for other reasons.
cases! {nothing_is_held {
    single: Trouble::Single;
    domain: Trouble::Domain;
    service: Trouble::Service;
}}
