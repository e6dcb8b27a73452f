//! Pace of one endpoint.

use std::ops::RangeInclusive;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::pace_estimate::PaceEstimate;

/// Gaps per sample of the usual pace, at least.
const MIN_GAPS: usize = 8;
/// Gaps per sample, at most; further ones replace the oldest.
const MAX_GAPS: usize = 64;
/// Shortest time that a sample covers. A noisy neighbour disturbs an endpoint for some 600 ms at a
/// time, so that most gaps of a sample are undisturbed.
const SAMPLE_TIME: Duration = Duration::from_secs(2);
/// Longest time that a sample covers.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(20);
/// Plausible gaps; any other one is ignored, measured here or reported by a peer.
const GAP_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(10);
/// Time after which an estimate is no longer used.
const MAX_ESTIMATE_AGE: Duration = Duration::from_mins(10);
/// Time for which a pace that was just observed is valid; disturbances are as short.
const NOW_VALIDITY: Duration = Duration::from_millis(300);
/// Plausible ratios of the newest gap to the usual one, as for the figures that endpoints report.
const NOW_RANGE: (f64, f64) = (0.1, 20.0);
/// Figure of an endpoint on which work takes the usual time.
const USUAL_FIGURE: f64 = 1.0;
/// Weight of a reported figure in the undisturbed figure, if it is lower and if it is higher. The
/// undisturbed figure has to stay near the least ones.
const QUIET_WEIGHTS: (f64, f64) = (0.5, 0.02);
/// Growth of an event's time by each request that runs beside it, relative to that of a single
/// one: a step takes 7 ms and 0.12 ms for each request.
const BATCH_GROWTH: f64 = 0.017;

/// Returns the time of an event beside `requests` running ones, relative to an empty engine.
pub fn batch_factor(requests: u32) -> f64 {
    1.0 + BATCH_GROWTH * f64::from(requests)
}

/// Returns the number of running requests at which [`batch_factor`] reaches a value.
pub fn batch_at_factor(factor: f64) -> f64 {
    (factor - 1.0) / BATCH_GROWTH
}

/// What is known of the pace of one endpoint.
///
/// Engines of a service may differ by a factor of 2.4, and noisy neighbours make them slower for
/// moments. Compared by load alone, slow engines get as many generations as fast ones, and the events
/// of these are late. The *usual pace* is the time per event without disturbance, converted to an
/// empty engine so that different batches can be compared; the *pace now* is relative to it.
#[derive(Debug, Clone, Default)]
pub struct EndpointPace {
    gaps: Vec<f64>,
    gap_count: usize,
    sample_begun: Moment,
    own: Option<PaceEstimate>,
    peers: Option<PaceEstimate>,
    /// Average of both, so that a decision need not compute it for each endpoint.
    usual: Option<f64>,
    /// What any instance last reported, and when.
    reported: Option<(f64, Moment)>,
    /// The usual pace that was last logged.
    logged: Option<f64>,
    figure: Option<(f64, Moment)>,
    quiet_figure: Option<f64>,
    now: Option<(f64, Moment)>,
}

impl EndpointPace {
    /// Creates a record without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a gap between two events of a stream while `running` requests were there; returns
    /// whether it completed a sample.
    pub fn record_gap(&mut self, gap: Duration, running: u32, now: Moment) -> bool {
        if !GAP_RANGE.contains(&gap) {
            return false;
        }
        let micros = gap.as_secs_f64() * 1e6 / batch_factor(running);
        if let Some(usual) = self.usual {
            self.now = Some(((micros / usual).clamp(NOW_RANGE.0, NOW_RANGE.1), now));
        }
        if now.since(self.sample_begun) > MAX_SAMPLE_TIME || self.gaps.is_empty() {
            (self.gap_count, self.sample_begun) = (0, now);
            self.gaps.clear();
        }
        match self.gaps.get_mut(self.gap_count % MAX_GAPS) {
            Some(oldest) => *oldest = micros,
            None => self.gaps.push(micros),
        }
        self.gap_count += 1;
        if self.gaps.len() < MIN_GAPS || now.since(self.sample_begun) < SAMPLE_TIME {
            return false;
        }
        let sample = percentile(&mut self.gaps, 0.25);
        let count = u32::try_from(self.gap_count).unwrap_or(u32::MAX);
        match &mut self.own {
            Some(own) => own.add(sample, count, now),
            None => self.own = Some(PaceEstimate::new(sample, count, now)),
        }
        self.gaps.clear();
        self.update(now);
        true
    }

    /// Records the figure that the endpoint reported, in hundredths of the usual time; returns it
    /// relative to the undisturbed figure of this endpoint. Whether the figures include the speed of
    /// the machine makes no difference to that ratio.
    pub fn record_figure(&mut self, hundredths: u32, now: Moment) -> f64 {
        let figure = f64::from(hundredths) / 100.0;
        let old = self.quiet_figure.unwrap_or(USUAL_FIGURE);
        let weight = if figure < old { QUIET_WEIGHTS.0 } else { QUIET_WEIGHTS.1 };
        let quiet = old + weight * (figure - old);
        self.quiet_figure = Some(quiet);
        self.figure = Some((figure, now));
        let ratio = (figure / quiet).clamp(NOW_RANGE.0, NOW_RANGE.1);
        self.now = Some((ratio, now));
        ratio
    }

    /// Records a peer's estimate; returns whether it is plausible and new.
    pub fn add_report(&mut self, micros: u64, gaps: u32, now: Moment) -> bool {
        if !GAP_RANGE.contains(&Duration::from_micros(micros)) || gaps == 0 {
            return false;
        }
        let micros = micros as f64;
        // A report of this instance comes back when peers forward it, and datagrams are duplicated.
        if self.reported.is_some_and(|(reported, _)| reported.total_cmp(&micros).is_eq()) {
            return false;
        }
        match &mut self.peers {
            Some(peers) => peers.add(micros, gaps, now),
            None => self.peers = Some(PaceEstimate::new(micros, gaps, now)),
        }
        self.reported = Some((micros, now));
        self.update(now);
        true
    }

    /// Returns the usual time per event on the empty endpoint in microseconds, averaged over what
    /// this instance and its peers measured.
    pub const fn usual(&self) -> Option<f64> {
        self.usual
    }

    /// Recomputes the usual pace, without estimates that have become too old.
    pub fn update(&mut self, now: Moment) {
        let estimates = [self.own, self.peers].into_iter().flatten();
        let mut sums = (0.0, 0.0);
        for estimate in estimates.filter(|e| e.age(now) <= MAX_ESTIMATE_AGE) {
            let weight = estimate.weight(now);
            sums = (sums.0 + estimate.micros() * weight, sums.1 + weight);
        }
        self.usual = (sums.1 > 0.0).then(|| sums.0 / sums.1);
    }

    /// Returns the pace of the last moment relative to the usual one, if it is still valid.
    pub fn now(&self, now: Moment) -> Option<f64> {
        self.now.filter(|(_, at)| now.since(*at) <= NOW_VALIDITY).map(|(ratio, _)| ratio)
    }

    /// Returns the last figure that the endpoint reported, if it is still valid.
    pub fn figure(&self, now: Moment) -> Option<f64> {
        self.figure.filter(|(_, at)| now.since(*at) <= NOW_VALIDITY).map(|(figure, _)| figure)
    }

    /// Returns the own estimate in microseconds and its number of gaps if its report to peers is
    /// due: the usual pace differs by more than `tolerance` from what any instance last reported, or
    /// that report is about to become too old to be used.
    pub fn due_report(&self, tolerance: f64, now: Moment) -> Option<(u64, u32)> {
        let own = self.own.filter(|own| own.age(now) <= MAX_SAMPLE_TIME)?;
        let usual = self.usual?;
        let is_known = self.reported.is_some_and(|(reported, at)| {
            (usual / reported - 1.0).abs() <= tolerance && now.since(at) < MAX_ESTIMATE_AGE / 2
        });
        if is_known {
            return None;
        }
        let micros = Duration::from_secs_f64(own.micros() / 1e6).as_micros();
        Some((u64::try_from(micros).ok()?, to_count(own.weight(now))))
    }

    /// Records that the own estimate was reported to the peers.
    pub fn note_reported(&mut self, micros: u64, now: Moment) {
        self.reported = Some((micros as f64, now));
    }

    /// Returns the old and the new usual pace in microseconds if it has changed by more than `share`
    /// since this was last returned.
    pub fn take_change(&mut self, share: f64) -> Option<(f64, f64)> {
        let usual = self.usual?;
        let old = *self.logged.get_or_insert(usual);
        ((usual / old - 1.0).abs() > share).then(|| {
            self.logged = Some(usual);
            (old, usual)
        })
    }
}

/// Returns the least of the values that at least a share of them does not exceed; zero without
/// values. Their order changes.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    let count = values.len() as f64;
    let is_rank = |rank: &usize| *rank as f64 >= share * count;
    let rank = (1..values.len()).find(is_rank).unwrap_or(values.len());
    if rank == 0 {
        return 0.0;
    }
    *values.select_nth_unstable_by(rank - 1, f64::total_cmp).1
}

/// Returns the whole number of gaps in a weight, at least one.
fn to_count(weight: f64) -> u32 {
    u32::try_from(Duration::from_secs_f64(weight).as_secs()).unwrap_or(u32::MAX).max(1)
}
