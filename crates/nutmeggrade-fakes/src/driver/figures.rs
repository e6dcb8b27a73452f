//! Results of a simulated run, as seen by callers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::moment::Moment;

use super::LoadPattern;

/// Gap between two tokens above which the excess counts as stall time; six times the gap of a
/// half-full engine, and about the shortest pause that a reader notices.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Result of one request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The complete output arrived within the deadline.
    pub whole: bool,
    /// The request was refused.
    pub refused: bool,
    /// The request was refused although an engine had room for its true length.
    pub false_refusal: bool,
    first: Option<Moment>,
    last_token: Moment,
    gaps: Vec<f32>,
}

impl Outcome {
    /// Records a token.
    pub fn token(&mut self, now: Moment) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps.push(now.since(self.last_token).as_secs_f32());
        }
        self.last_token = now;
    }

    /// Returns whether a token has arrived.
    pub const fn started(&self) -> bool {
        self.first.is_some()
    }

    fn stall(&self) -> f64 {
        let limit = STALL_THRESHOLD.as_secs_f64();
        self.gaps.iter().map(|g| (f64::from(*g) - limit).max(0.0)).sum()
    }
}

/// Aggregated results of a run; times are in seconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Number of requests.
    pub asked: usize,
    /// Share of requests whose complete output arrived within the deadline.
    pub whole: f64,
    /// The same share, for long tasks only.
    pub whole_long: f64,
    /// Total stall time of all streams.
    pub stall: f64,
    /// 99th percentile of the stall time of a stream.
    pub stall_p99: f64,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Median, 95th and 99th percentile of the gap between tokens.
    pub gap: [f64; 3],
    /// Median and 99th percentile of the time to the first token.
    pub first: [f64; 2],
    /// Jain's fairness index of the workspaces' shares of complete outputs.
    pub fairness: f64,
    /// Share of requests refused.
    pub refused: f64,
    /// Share of requests refused although an engine had room.
    pub false_refused: f64,
    /// Number of engine crashes caused by exceeding the cold limit.
    pub crashes: u64,
}

impl Figures {
    pub(super) fn new(
        pattern: &LoadPattern,
        outcomes: &[Outcome],
        preemptions: u64,
        crashes: u64,
    ) -> Self {
        let asked = outcomes.len();
        let share_of = |n: usize| n as f64 / asked.max(1) as f64;
        let share_where =
            |f: fn(&Outcome) -> bool| share_of(outcomes.iter().filter(|o| f(o)).count());
        let pairs = || outcomes.iter().zip(&pattern.arrivals);
        let long_count = pairs().filter(|(_, a)| a.is_long).count();
        let whole_long = pairs().filter(|(o, a)| a.is_long && o.whole).count();
        let mut stall_times: Vec<f64> =
            outcomes.iter().filter(|o| o.started()).map(Outcome::stall).collect();
        let mut first_token_times: Vec<f64> =
            pairs().filter_map(|(o, a)| o.first.map(|f| f.since(a.at).as_secs_f64())).collect();
        let mut gaps: Vec<f64> =
            outcomes.iter().flat_map(|o| o.gaps.iter().copied().map(f64::from)).collect();
        Self {
            asked,
            whole: share_where(|o| o.whole),
            whole_long: whole_long as f64 / long_count.max(1) as f64,
            stall: stall_times.iter().sum(),
            stall_p99: quantile(&mut stall_times, 99),
            preemptions,
            gap: [50, 95, 99].map(|p| quantile(&mut gaps, p)),
            first: [50, 99].map(|p| quantile(&mut first_token_times, p)),
            fairness: fairness(pattern, outcomes),
            refused: share_where(|o| o.refused),
            false_refused: share_where(|o| o.false_refusal),
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

fn fairness(pattern: &LoadPattern, outcomes: &[Outcome]) -> f64 {
    let mut shares: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (outcome, arrival) in outcomes.iter().zip(&pattern.arrivals) {
        let (whole, total) = shares.entry(arrival.workspace).or_default();
        *whole += f64::from(u8::from(outcome.whole));
        *total += 1.0;
    }
    let ratios: Vec<f64> = shares.values().map(|(whole, total)| whole / total).collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|p| p * p).sum();
    if squares > 0.0 { sum * sum / (ratios.len() as f64 * squares) } else { 1.0 }
}
