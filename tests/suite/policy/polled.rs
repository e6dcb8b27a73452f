//! Engines that an instance polls while the store is unavailable.

use std::collections::BTreeSet;

use nutmeggrade_policy::fleet::{PollCandidate, PollLimits, choose_polled};
use rand::{SeedableRng, rngs::StdRng};

const LIMITS: PollLimits = PollLimits { with_work: 128, idle: 16 };

fn candidates(count: usize, has_work: impl Fn(usize) -> bool) -> Vec<PollCandidate<usize>> {
    (0..count).map(|engine| PollCandidate { engine, has_work: has_work(engine) }).collect()
}

// Guards against an instance that polls thousands of engines at once when the store falls silent,
// and so has no processor and no descriptors left for its clients.
#[test]
fn engines_with_work_are_polled_first() {
    let mut rng = StdRng::seed_from_u64(7);
    let polled = choose_polled(candidates(9_000, |n| n % 90 == 0), LIMITS, &mut rng);
    assert_eq!(polled.iter().filter(|n| **n % 90 == 0).count(), 100);
    assert_eq!(polled.len(), 100 + LIMITS.idle);
    let polled = choose_polled(candidates(9_000, |_| true), LIMITS, &mut rng);
    assert_eq!(polled.len(), LIMITS.with_work);
}

// Guards against engines that are never polled because others always are.
#[test]
fn all_engines_are_polled_in_the_end() {
    let mut rng = StdRng::seed_from_u64(7);
    for has_work in [true, false] {
        let rounds =
            (0..200).flat_map(|_| choose_polled(candidates(300, |_| has_work), LIMITS, &mut rng));
        assert_eq!(rounds.collect::<BTreeSet<_>>().len(), 300);
    }
}

// Guards against a small fleet in which engines are left out of a round.
#[test]
fn few_engines_are_all_polled() {
    let mut rng = StdRng::seed_from_u64(7);
    let polled = choose_polled(candidates(15, |n| n == 5), LIMITS, &mut rng);
    assert_eq!(polled.into_iter().collect::<BTreeSet<_>>().len(), 15);
}
