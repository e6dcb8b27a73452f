//! Paces of the endpoints of one service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::Candidate;
use super::endpoint_pace::{EndpointPace, batch_at_factor, percentile};
use super::pace_view::PaceView;

/// Interval between two summaries of a service's endpoints.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Reported figures, relative to the undisturbed ones, from which the usual disturbance is taken.
const MAX_FIGURES: usize = 256;
/// Figures below which no disturbance is assumed.
const MIN_FIGURES: usize = 4;
/// Share of the figures up to the usual disturbance.
const DISTURBED_SHARE: f64 = 0.9;
/// Standard errors that are added to that share. An instance of a large fleet sees a figure every
/// other second; the 90th percentile of 14 of them misses a disturbance of 15% of the time in two
/// cases of three.
const SHARE_ERRORS: f64 = 1.3;
/// Time for a prompt chunk of 112 tokens, relative to that of an event on an empty engine: 8 ms
/// beside four steps of 7 ms.
const CHUNK_SHARE: f64 = 0.286;
/// Part of an engine's slots, as a divisor, below which the gap limit is not applied: a late answer
/// is better than none.
const MIN_SLOTS_DIVISOR: u32 = 4;

/// Paces of the endpoints of one service.
#[derive(Debug, Default)]
pub struct ServicePaces {
    endpoints: BTreeMap<EndpointId, EndpointPace>,
    figures: VecDeque<f64>,
    is_active: bool,
    summarized_at: Option<Moment>,
    /// Usual time per event of the fastest quarter, in microseconds.
    fastest: Option<f64>,
    median: Option<f64>,
    disturbance: Option<f64>,
}

impl ServicePaces {
    /// Returns whether an endpoint of the service has reported its pace to this instance.
    pub const fn is_active(&self) -> bool {
        self.is_active
    }

    /// Makes the paces count from now on.
    pub const fn activate(&mut self) {
        self.is_active = true;
    }

    /// Returns the pace of an endpoint for update.
    pub fn endpoint_mut(&mut self, id: &EndpointId) -> &mut EndpointPace {
        self.endpoints.entry(id.clone()).or_default()
    }

    /// Lists the endpoints for update.
    pub fn endpoints_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut EndpointPace)> {
        self.endpoints.iter_mut()
    }

    /// Removes what is known of an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
    }

    /// Removes endpoints that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&EndpointId) -> bool) {
        self.endpoints.retain(|id, _| is_present(id));
    }

    /// Records a figure that an endpoint reported, relative to its undisturbed figure.
    pub fn record_figure(&mut self, ratio: f64) {
        if self.figures.len() == MAX_FIGURES {
            self.figures.pop_front();
        }
        self.figures.push_back(ratio);
    }

    /// Recomputes what endpoints are compared with, once a second at most.
    pub fn summarize(&mut self, now: Moment) {
        if self.summarized_at.is_some_and(|at| now.since(at) < SUMMARY_INTERVAL) {
            return;
        }
        self.summarized_at = Some(now);
        self.endpoints.values_mut().for_each(|pace| pace.update(now));
        let mut paces: Vec<f64> = self.endpoints.values().filter_map(EndpointPace::usual).collect();
        let known = !paces.is_empty();
        self.fastest = known.then(|| percentile(&mut paces, 0.25));
        self.median = known.then(|| percentile(&mut paces, 0.5));
        let mut figures: Vec<f64> = self.figures.iter().copied().collect();
        self.disturbance = (figures.len() >= MIN_FIGURES).then(|| {
            let error = (DISTURBED_SHARE * (1.0 - DISTURBED_SHARE) / figures.len() as f64).sqrt();
            percentile(&mut figures, DISTURBED_SHARE + SHARE_ERRORS * error).max(1.0)
        });
    }

    /// Returns the usual pace of each endpoint relative to the median.
    pub fn ratios(&self) -> impl Iterator<Item = f64> {
        let median = self.median;
        self.endpoints.values().filter_map(move |e| Some(e.usual()? / median?))
    }

    /// Returns the pace of an endpoint for a decision; `gap` is the service's limit for the time
    /// between two events.
    pub fn view(&self, candidate: &Candidate, gap: Option<Duration>, now: Moment) -> PaceView {
        let Some(pace) = self.endpoints.get(&candidate.id).filter(|_| self.is_active) else {
            return PaceView::UNKNOWN;
        };
        if candidate.memory.is_none() {
            return PaceView { now: pace.figure(now), ..PaceView::UNKNOWN };
        }
        let usual = pace.usual();
        let ratio = usual.zip(self.fastest).map_or(1.0, |(usual, fastest)| usual / fastest);
        let slots = candidate.slots.max(1);
        let least = f64::from(slots.div_ceil(MIN_SLOTS_DIVISOR));
        let limit = |chunks: f64| {
            let limit = usual.zip(gap).map(|(usual, gap)| self.running_limit(usual, gap, chunks));
            limit.filter(|limit| *limit < f64::from(slots))
        };
        PaceView {
            ratio: ratio.max(1.0),
            now: pace.now(now),
            max_running: limit(1.0).filter(|limit| *limit >= least),
            max_reading: limit(2.0),
        }
    }

    /// Returns the number of running requests with which an event still takes at most `gap`, with
    /// the usual disturbance and some prompt chunks.
    fn running_limit(&self, usual: f64, gap: Duration, chunks: f64) -> f64 {
        let disturbed = usual * self.disturbance.unwrap_or(1.0);
        batch_at_factor(gap.as_secs_f64() * 1e6 / disturbed - chunks * CHUNK_SHARE)
    }
}
