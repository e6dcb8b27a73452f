//! Comparison of two versions by the outcomes of their requests.

use nutmeggrade_core::rollout::{Latencies, Outcomes, RolloutTally, RouteOutcomes};

use super::binomial::tail;
use super::verdict::{Regression, Verdict};

/// Probability of a chance difference below which the new version is bad.
const BAD_PROBABILITY: f64 = 2e-5;
/// Probability of a chance difference below which the new version is suspect and not completed.
const SUSPECT_PROBABILITY: f64 = 0.02;
/// Least excess failure rate that is detected; a smaller one always counts as chance.
const MIN_FAILURE_EXCESS: f64 = 0.04;
/// Least excess in the fraction of responses above a duration that is detected. Two versions never
/// have exactly the same load.
const MIN_LATENCY_EXCESS: f64 = 0.15;
/// Responses of the new version required to judge it bad.
const MIN_RESPONSES_BAD: u32 = 6;
/// Responses of the new version required to judge it good.
const MIN_RESPONSES_GOOD: u32 = 20;
/// Responses of the new version required on each route with at least [`ROUTE_SHARE`] of the
/// requests to judge it good.
const MIN_RESPONSES_ROUTE: u32 = 6;
/// Fraction of a service's responses from which on a route needs its own evidence.
const ROUTE_SHARE: f64 = 0.1;

/// Compares a new version with the old one by outcomes from the same period.
///
/// The fractions of failures and of responses above each duration are compared between the
/// versions. This assumes nothing about the distribution of durations, and the counts of several
/// instances can be added.
pub fn compare(tally: &RolloutTally) -> Verdict {
    let all = tally.all_routes();
    let mut worst = compare_route("*", &all);
    for (route, outcomes) in &tally.routes {
        let verdict = compare_route(route, outcomes);
        if severity(&verdict) > severity(&worst) {
            worst = verdict;
        }
    }
    if worst != Verdict::Good {
        return worst;
    }
    let responses = f64::from(all.old.count());
    let has_evidence = |o: &RouteOutcomes| {
        f64::from(o.old.count()) < ROUTE_SHARE * responses || o.new.count() >= MIN_RESPONSES_ROUTE
    };
    let is_sufficient =
        all.new.count() >= MIN_RESPONSES_GOOD && tally.routes.values().all(has_evidence);
    if is_sufficient { Verdict::Good } else { Verdict::Unclear }
}

fn compare_route(route: &str, outcomes: &RouteOutcomes) -> Verdict {
    let RouteOutcomes { old, new } = outcomes;
    let probabilities = [
        (Regression::Fails, failure_probability(old, new)),
        (Regression::StartsLate, latency_probability(&old.first_response, &new.first_response)),
        (Regression::StreamsSlowly, latency_probability(&old.event_interval, &new.event_interval)),
    ];
    let lowest = probabilities.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    match lowest {
        Some((complaint, probability))
            if probability < BAD_PROBABILITY && new.count() >= MIN_RESPONSES_BAD =>
        {
            Verdict::Bad { route: route.to_owned(), complaint }
        }
        Some((_, probability)) if probability < SUSPECT_PROBABILITY => Verdict::Suspect,
        _ => Verdict::Good,
    }
}

const fn severity(verdict: &Verdict) -> u8 {
    match verdict {
        Verdict::Good => 0,
        Verdict::Unclear => 1,
        Verdict::Suspect => 2,
        Verdict::Bad { .. } => 3,
    }
}

fn failure_probability(old: &Outcomes, new: &Outcomes) -> f64 {
    excess_probability((old.failures, old.count()), (new.failures, new.count()), MIN_FAILURE_EXCESS)
}

/// Returns the lowest probability over all informative durations, multiplied by their number
/// (Bonferroni correction).
fn latency_probability(old: &Latencies, new: &Latencies) -> f64 {
    let (old_count, new_count) = (old.count(), new.count());
    let mut lowest: f64 = 1.0;
    let mut tested = 0_u32;
    for (old_above, new_above) in old.cumulative_counts().zip(new.cumulative_counts()) {
        if new_above == 0 || old_above == old_count {
            continue;
        }
        tested += 1;
        lowest = lowest.min(excess_probability(
            (old_above, old_count),
            (new_above, new_count),
            MIN_LATENCY_EXCESS,
        ));
    }
    (lowest * f64::from(tested.max(1))).min(1.0)
}

/// Returns the probability that the new version has at least as many hits by chance if its hit rate
/// is `margin` above that of the old version.
fn excess_probability(
    (old_hits, old): (u32, u32),
    (new_hits, new): (u32, u32),
    margin: f64,
) -> f64 {
    if new == 0 || old == 0 {
        return 1.0;
    }
    let old_rate = (f64::from(old_hits) + 0.5) / (f64::from(old) + 1.0);
    let error = (old_rate * (1.0 - old_rate) / f64::from(old)).sqrt();
    if f64::from(new_hits) / f64::from(new) <= old_rate + margin {
        return 1.0;
    }
    tail(new_hits, new, old_rate + 2.0 * error)
}
