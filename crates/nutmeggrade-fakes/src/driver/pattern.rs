//! A pattern of load, drawn from a seed.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Arrival, Change, Shape, arrival, spec};
use crate::engine::Spec;

/// Time during which requests come, in seconds.
const ARRIVING: f64 = 120.0;
/// One pattern with all that is random in it already drawn.
#[derive(Debug, Clone)]
pub struct Pattern {
    /// Requests in the order of their coming.
    pub arrivals: Vec<Arrival>,
    /// What happens to the engines.
    pub changes: Vec<Change>,
    /// How old load reports are.
    pub report_lag: Duration,
    /// When the run ends.
    pub end: Moment,
    /// Every engine.
    pub spec: Spec,
}

impl Pattern {
    /// Draws a pattern; the same shape and seed give the same pattern.
    pub fn new(shape: Shape, seed: u64) -> Self {
        Self::scaled(shape, seed, 1.0)
    }

    /// Draws a pattern that takes a part of the usual time, at the same rates.
    pub fn scaled(shape: Shape, seed: u64, scale: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            let open: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at -= open.ln() / shape.rate(at / scale);
            if at > ARRIVING * scale {
                break;
            }
            arrivals.push(arrival::draw(&mut rng, shape, at));
        }
        let late = arrivals.iter().map(|a| a.deadline).max().unwrap_or(Moment::ZERO);
        let old_reports = shape == Shape::StaleReports;
        Self {
            arrivals,
            changes: shape.changes(scale),
            report_lag: Duration::from_millis(if old_reports { 3_000 } else { 300 }),
            end: late,
            spec: spec(),
        }
    }
}
