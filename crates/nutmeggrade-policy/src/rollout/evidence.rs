//! Compares two versions by the outcomes of their requests.

use nutmeggrade_core::rollout::{Latencies, Outcomes, RolloutTally, RouteOutcomes};

use super::binomial::tail;
use super::verdict::{Complaint, Verdict};

/// Probability below which a difference is no chance.
const SURE: f64 = 2e-5;
/// Probability below which a difference is suspect, so that the version is not completed.
const DOUBTFUL: f64 = 0.02;
/// Least difference of two parts that matters: fewer failures than that pass for chance for ever.
const LEAST_FAILURES: f64 = 0.04;
/// Least difference of the parts of answers that are above some duration. Two versions never have quite
/// the same load.
const LEAST_LATE: f64 = 0.15;
/// Answers of the new version from which on it may be called bad.
const FEWEST_BAD: u32 = 6;
/// Answers of the new version from which on it may be called good.
const FEWEST_GOOD: u32 = 20;
/// The same for each route that brings a [`ROUTE_PART`] of the requests.
const FEWEST_ROUTE: u32 = 6;
/// Part of a service's answers from which on a route has to be known by itself.
const ROUTE_PART: f64 = 0.1;

/// Compares a new version with the old one by what both did at the same time.
///
/// Failures and answers above each duration are counted, and the new version's part of them is compared with
/// the old one's. That needs no assumption on the spread of durations, and counts of instances add up.
pub fn compare(tally: &RolloutTally) -> Verdict {
    let all = tally.all_routes();
    let mut worst = judge_route("*", &all);
    for (route, outcomes) in &tally.routes {
        let verdict = judge_route(route, outcomes);
        if rank(&verdict) > rank(&worst) {
            worst = verdict;
        }
    }
    if worst != Verdict::Good {
        return worst;
    }
    let answers = f64::from(all.old.count());
    let is_known = |o: &RouteOutcomes| {
        f64::from(o.old.count()) < ROUTE_PART * answers || o.new.count() >= FEWEST_ROUTE
    };
    let is_enough = all.new.count() >= FEWEST_GOOD && tally.routes.values().all(is_known);
    if is_enough { Verdict::Good } else { Verdict::Unclear }
}

fn judge_route(route: &str, outcomes: &RouteOutcomes) -> Verdict {
    let RouteOutcomes { old, new } = outcomes;
    let found = [
        (Complaint::Fails, failures(old, new)),
        (Complaint::StartsLate, lateness(&old.first_response, &new.first_response)),
        (Complaint::StreamsSlowly, lateness(&old.event_interval, &new.event_interval)),
    ];
    let least = found.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    match least {
        Some((complaint, chance)) if chance < SURE && new.count() >= FEWEST_BAD => {
            Verdict::Bad { route: route.to_owned(), complaint }
        }
        Some((_, chance)) if chance < DOUBTFUL => Verdict::Suspect,
        _ => Verdict::Good,
    }
}

const fn rank(verdict: &Verdict) -> u8 {
    match verdict {
        Verdict::Good => 0,
        Verdict::Unclear => 1,
        Verdict::Suspect => 2,
        Verdict::Bad { .. } => 3,
    }
}

fn failures(old: &Outcomes, new: &Outcomes) -> f64 {
    excess((old.failures, old.count()), (new.failures, new.count()), LEAST_FAILURES)
}

/// Returns the least probability over all durations, as many times as there are durations that tell anything.
fn lateness(old: &Latencies, new: &Latencies) -> f64 {
    let (old_count, new_count) = (old.count(), new.count());
    let mut least: f64 = 1.0;
    let mut bounds = 0_u32;
    for (old_above, new_above) in old.cumulative_counts().zip(new.cumulative_counts()) {
        if new_above == 0 || old_above == old_count {
            continue;
        }
        bounds += 1;
        least = least.min(excess((old_above, old_count), (new_above, new_count), LEAST_LATE));
    }
    (least * f64::from(bounds.max(1))).min(1.0)
}

/// Returns the probability that as many of the new answers are hit by chance, where hits are a `margin`
/// more frequent than among the old answers.
fn excess((old_hits, old): (u32, u32), (new_hits, new): (u32, u32), margin: f64) -> f64 {
    if new == 0 || old == 0 {
        return 1.0;
    }
    let part = (f64::from(old_hits) + 0.5) / (f64::from(old) + 1.0);
    let error = (part * (1.0 - part) / f64::from(old)).sqrt();
    if f64::from(new_hits) / f64::from(new) <= part + margin {
        return 1.0;
    }
    tail(new_hits, new, part + 2.0 * error)
}
