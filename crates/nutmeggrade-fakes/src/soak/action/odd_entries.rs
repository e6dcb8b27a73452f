//! Draws entries of the store that can't be used.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Action, draw_times};
use crate::soak::odd_entry::{OddEntry, OddField, OddValue};
use crate::soak::plan::Plan;

/// Separates the random numbers of odd entries from those of the other actions.
const ODD_ENTRIES_STREAM: u64 = 0xaef1_7502_b3d9_2dd5;

/// Draws entries that can't be used, written by another writer. After some of them an endpoint crashes,
/// so that another one joins, or an instance is killed and reads the store anew.
pub fn draw_odd_entries(plan: &Plan, mean_gap_ms: u64) -> Vec<(Duration, Action)> {
    let (times, mut rng) =
        draw_times(plan, plan.seed.wrapping_mul(ODD_ENTRIES_STREAM), mean_gap_ms);
    let mut actions = Vec::new();
    for at in times {
        let entry = draw_entry(&mut rng);
        let stay = Duration::from_millis(rng.random_range(200..6_000));
        let action = Action::WriteOddEntry {
            entry,
            is_evacuation: rng.random_bool(0.2),
            stay: rng.random_bool(0.6).then_some(stay),
        };
        actions.push((at, action));
        let next = at + Duration::from_millis(rng.random_range(0..1_500));
        let (endpoint, instance) = (
            rng.random_range(0..plan.engines + plan.services),
            rng.random_range(0..plan.instances),
        );
        match rng.random_range(0..10) {
            0..4 => actions.push((next, Action::Crash(endpoint, false))),
            4..7 => actions.push((next, Action::Kill(instance, Duration::from_millis(300)))),
            _ => {}
        }
    }
    actions
}

fn draw_entry(rng: &mut ChaCha8Rng) -> OddEntry {
    const FIELDS: [OddField; 3] = [OddField::Service, OddField::Address, OddField::Slots];
    match rng.random_range(0..6) {
        0 => OddEntry::Nested(rng.random_range(300..=5_000)),
        1 => OddEntry::HugeNumber,
        2 => OddEntry::HugePort,
        3 => OddEntry::NoText,
        4 => {
            // An entry without its number of slots may still be used.
            let field = FIELDS[rng.random_range(0..2)];
            OddEntry::Field(field, OddValue::Missing)
        }
        _ => {
            let value = [OddValue::Null, OddValue::List][rng.random_range(0..2)];
            OddEntry::Field(FIELDS[rng.random_range(0..FIELDS.len())], value)
        }
    }
}
