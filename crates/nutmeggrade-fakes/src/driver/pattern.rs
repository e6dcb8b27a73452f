//! Load patterns, drawn from a seed.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Arrival, Change, LoadShape, arrival, spec};
use crate::engine::Spec;

/// Period in which requests arrive, in seconds.
const ARRIVAL_SECONDS: f64 = 120.0;

/// A load pattern in which every random value is already drawn.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// Requests in the order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Scheduled changes of the engines.
    pub changes: Vec<Change>,
    /// Lag of the load reports.
    pub report_lag: Duration,
    /// End of the run.
    pub end: Moment,
    /// Specification that all engines share.
    pub spec: Spec,
}

impl LoadPattern {
    /// Draws a pattern; the same shape and seed give the same pattern.
    pub fn new(shape: LoadShape, seed: u64) -> Self {
        Self::scaled(shape, seed, 1.0)
    }

    /// Draws a pattern whose duration is scaled, at the same rates.
    pub fn scaled(shape: LoadShape, seed: u64, scale: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at -= uniform.ln() / shape.rate(at / scale);
            if at > ARRIVAL_SECONDS * scale {
                break;
            }
            arrivals.push(arrival::draw(&mut rng, shape, at));
        }
        let last_deadline = arrivals.iter().map(|a| a.deadline).max().unwrap_or(Moment::ZERO);
        let is_stale = shape == LoadShape::StaleReports;
        Self {
            arrivals,
            changes: shape.changes(scale),
            report_lag: Duration::from_millis(if is_stale { 3_000 } else { 300 }),
            end: last_deadline,
            spec: spec(),
        }
    }
}
