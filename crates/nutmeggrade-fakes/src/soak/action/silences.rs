//! Draws sound endpoints that fall silent, also around changes and planned stops.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Action, Silenced, draw_times};
use crate::soak::plan::Plan;

/// Separates the random numbers of silences from those of the other actions.
const SILENCES_STREAM: u64 = 0xd1b5_4a32_d192_ed03;

/// Draws endpoints that fall silent, some of them shortly after a change of the configuration or while
/// instances are stopped one after the other.
pub fn draw_silences(plan: &Plan, mean_gap_ms: u64) -> Vec<(Duration, Action)> {
    let (times, mut rng) = draw_times(plan, plan.seed.wrapping_mul(SILENCES_STREAM), mean_gap_ms);
    let mut actions = Vec::new();
    for at in times {
        match rng.random_range(0..10) {
            0..3 => {
                let before = Duration::from_millis(rng.random_range(50..900));
                actions.push((at.saturating_sub(before), Action::ChangeConfig));
                actions.push((at, draw_silence(plan, &mut rng)));
            }
            3..8 => draw_stops(plan, at, &mut rng, &mut actions),
            _ => actions.push((at, draw_silence(plan, &mut rng))),
        }
    }
    actions
}

/// Draws a series of stops, and a silence around most of them.
fn draw_stops(
    plan: &Plan,
    mut at: Duration,
    rng: &mut ChaCha8Rng,
    actions: &mut Vec<(Duration, Action)>,
) {
    let first = rng.random_range(0..plan.instances);
    let count = rng.random_range(2..=plan.instances.clamp(2, 4));
    for n in 0..count {
        actions.push((at, Action::Stop((first + n) % plan.instances)));
        if rng.random_bool(0.8) {
            // Requests that come late in the grace period have the least time to spare.
            let after = plan.grace.mul_f64(rng.random_range(0.1..0.9));
            actions.push((at + after, draw_silence(plan, rng)));
        }
        at += Duration::from_millis(rng.random_range(800..4_000));
    }
}

fn draw_silence(plan: &Plan, rng: &mut ChaCha8Rng) -> Action {
    let silenced = match rng.random_range(0..10) {
        0..4 => Silenced::One(rng.random_range(0..plan.engines + plan.services)),
        4..8 => Silenced::Engines,
        _ => Silenced::Services,
    };
    Action::Silence(silenced, Duration::from_millis(rng.random_range(600..2_500)))
}
