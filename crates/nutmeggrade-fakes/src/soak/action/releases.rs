//! Draws releases of engines, and kills of nearly all instances around them.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Action, Release, draw_times};
use crate::soak::plan::Plan;

/// Separates the random numbers of releases from those of the other actions.
const RELEASES_STREAM: u64 = 0x8cb9_2ba7_2f3d_8dd7;

/// Draws releases. Around half of them all instances are killed at once, or all but one.
pub fn draw_releases(plan: &Plan, mean_gap_ms: u64) -> Vec<(Duration, Action)> {
    let (times, mut rng) = draw_times(plan, plan.seed.wrapping_mul(RELEASES_STREAM), mean_gap_ms);
    let mut actions = Vec::new();
    for at in times {
        let release = draw_release(plan, &mut rng);
        actions.push((at, Action::Release(release)));
        if rng.random_bool(0.6) {
            let spared = rng.random_bool(0.4).then(|| rng.random_range(0..plan.instances));
            // The old engines leave while the instances are away.
            let down = Duration::from_millis(rng.random_range(600..2_000));
            let before = down.mul_f64(rng.random_range(0.0..1.0));
            let kill_at = (at + release.overlap).saturating_sub(before);
            actions.push((kill_at, Action::KillAll(spared, down)));
        }
    }
    actions
}

fn draw_release(plan: &Plan, rng: &mut ChaCha8Rng) -> Release {
    let is_announced = rng.random_bool(0.3);
    let replaces_all = rng.random_bool(0.6);
    let leave_ms = if is_announced { 2_000..4_000 } else { 0..600 };
    Release {
        first: rng.random_range(0..plan.engines),
        count: if replaces_all { plan.engines } else { rng.random_range(1..=plan.engines) },
        is_announced,
        overlap: Duration::from_millis(rng.random_range(300..4_000)),
        leave_delay: Duration::from_millis(rng.random_range(leave_ms)),
    }
}
