//! Draws series of planned stops in which no instance serves for a while.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Action, Silenced, draw_times};
use crate::soak::plan::Plan;

/// Separates the random numbers of these stops from those of the other actions.
const OVERLAPS_STREAM: u64 = 0xa076_1d64_78bd_642f;
/// Longest time from the first stop of a series to the last one, in milliseconds.
const MAX_SPREAD_MS: u64 = 2_500;

/// Draws series in which all instances are stopped, and engines that preempt what they run before the
/// instances end.
pub fn draw_overlapping_stops(plan: &Plan, mean_gap_ms: u64) -> Vec<(Duration, Action)> {
    let (times, mut rng) = draw_times(plan, plan.seed.wrapping_mul(OVERLAPS_STREAM), mean_gap_ms);
    times.into_iter().flat_map(|at| draw_series(plan, at, &mut rng)).collect()
}

fn draw_series(plan: &Plan, at: Duration, rng: &mut ChaCha8Rng) -> Vec<(Duration, Action)> {
    let first = rng.random_range(0..plan.instances);
    let mut actions: Vec<_> = (0..plan.instances)
        .map(|n| {
            let after = if n == 0 { 0 } else { rng.random_range(0..MAX_SPREAD_MS) };
            let stop = Action::Stop((first + n) % plan.instances);
            (at + Duration::from_millis(after), stop)
        })
        .collect();
    // Streams that come late in the grace period are preempted until it is nearly over.
    let preempted_at = at + plan.grace.mul_f64(rng.random_range(0.4..0.5));
    let time = plan.grace.mul_f64(rng.random_range(0.6..0.75));
    actions.push((preempted_at, Action::Silence(Silenced::Engines, time)));
    actions
}
