//! What callers got.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::moment::Moment;

use super::Pattern;

/// A longer gap between two tokens counts as a stall by what it exceeds this; six times the gap of
/// a half-full engine, and about where a reader sees the text stop.
pub const STALL: Duration = Duration::from_millis(100);

/// What one caller got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The whole answer came within its deadline.
    pub whole: bool,
    /// It was refused.
    pub refused: bool,
    /// It was refused though an engine had room for its whole true length.
    pub false_refusal: bool,
    first: Option<Moment>,
    last: Moment,
    gaps: Vec<f32>,
}

impl Outcome {
    /// Notes a token.
    pub fn token(&mut self, now: Moment) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps.push(now.since(self.last).as_secs_f32());
        }
        self.last = now;
    }

    /// Says whether a token came.
    pub const fn started(&self) -> bool {
        self.first.is_some()
    }

    fn stall(&self) -> f64 {
        let limit = STALL.as_secs_f64();
        self.gaps.iter().map(|g| (f64::from(*g) - limit).max(0.0)).sum()
    }
}

/// Figures of one run, in seconds where a time is meant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Requests that came.
    pub asked: usize,
    /// Share of them whose whole answer came within the deadline.
    pub whole: f64,
    /// The same for long tasks.
    pub whole_long: f64,
    /// Sum of stall time over all streams.
    pub stall: f64,
    /// 99th percentile of the stall time of a stream.
    pub stall_p99: f64,
    /// Generations that engines preempted.
    pub preemptions: u64,
    /// Median, 95th and 99th percentile of the gap between tokens.
    pub gap: [f64; 3],
    /// Median and 99th percentile of the time to the first token.
    pub first: [f64; 2],
    /// Jain's index of the share of whole answers over workspaces.
    pub fairness: f64,
    /// Share of requests refused.
    pub refused: f64,
    /// Share of requests refused though an engine had room.
    pub false_refused: f64,
    /// Engines that crashed under more cold load than they bear.
    pub crashes: u64,
}

impl Figures {
    pub(super) fn new(
        pattern: &Pattern,
        outcomes: &[Outcome],
        preemptions: u64,
        crashes: u64,
    ) -> Self {
        let asked = outcomes.len();
        let share = |n: usize| n as f64 / asked.max(1) as f64;
        let count = |f: fn(&Outcome) -> bool| share(outcomes.iter().filter(|o| f(o)).count());
        let pairs = || outcomes.iter().zip(&pattern.arrivals);
        let long = pairs().filter(|(_, a)| a.is_long).count();
        let whole_long = pairs().filter(|(o, a)| a.is_long && o.whole).count();
        let mut stalls: Vec<f64> =
            outcomes.iter().filter(|o| o.started()).map(Outcome::stall).collect();
        let mut firsts: Vec<f64> =
            pairs().filter_map(|(o, a)| o.first.map(|f| f.since(a.at).as_secs_f64())).collect();
        let mut gaps: Vec<f64> =
            outcomes.iter().flat_map(|o| o.gaps.iter().copied().map(f64::from)).collect();
        Self {
            asked,
            whole: count(|o| o.whole),
            whole_long: whole_long as f64 / long.max(1) as f64,
            stall: stalls.iter().sum(),
            stall_p99: quantile(&mut stalls, 99),
            preemptions,
            gap: [50, 95, 99].map(|p| quantile(&mut gaps, p)),
            first: [50, 99].map(|p| quantile(&mut firsts, p)),
            fairness: fairness(pattern, outcomes),
            refused: count(|o| o.refused),
            false_refused: count(|o| o.false_refusal),
            crashes,
        }
    }
}

fn quantile(values: &mut [f64], percent: usize) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let rank = (values.len() * percent / 100).min(values.len() - 1);
    *values.select_nth_unstable_by(rank, f64::total_cmp).1
}

fn fairness(pattern: &Pattern, outcomes: &[Outcome]) -> f64 {
    let mut shares: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (outcome, arrival) in outcomes.iter().zip(&pattern.arrivals) {
        let (whole, all) = shares.entry(arrival.workspace).or_default();
        *whole += f64::from(u8::from(outcome.whole));
        *all += 1.0;
    }
    let parts: Vec<f64> = shares.values().map(|(whole, all)| whole / all).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|p| p * p).sum();
    if squares > 0.0 { sum * sum / (parts.len() as f64 * squares) } else { 1.0 }
}
