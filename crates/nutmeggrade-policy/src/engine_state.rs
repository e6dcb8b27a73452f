//! State of one engine as seen by this instance.

use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

use crate::cold_watch::ColdWatch;
use crate::decision_settings::DecisionSettings;
use crate::gap_limit::GapLimit;
use crate::memory::{Forecast, PeerUsage};
use crate::prefill_limit::PrefillLimit;
use crate::room_lottery::RoomLottery;
use crate::slow_start::SlowStart;
use crate::unreported_admissions::UnreportedAdmissions;
use crate::{Engine, GenerationRequest, Ticket};

/// Part of the memory that responses may probably fill; the engine's own blocks take the rest.
const USABLE_MEMORY_SHARE: f64 = 0.97;
/// Part of the mean memory of a response below which an engine counts as empty.
const EMPTY_THRESHOLD: f64 = 0.1;
/// Relative error of the memory held for peers: their counts are up to half a second old and their
/// mix of responses differs from this instance's. Without it, out of seven instances the one with
/// the lowest estimate would always admit the next request.
const PEER_MEMORY_ERROR: f64 = 0.15;
/// Added to the score of a cold engine, so that any warm engine with room goes first.
const COLD_PENALTY: f64 = 1.0;

/// Inputs of one placement decision beside the engine's state.
#[derive(Debug)]
pub(crate) struct PlacementContext<'a> {
    pub request: &'a GenerationRequest,
    pub forecast: &'a Forecast,
    /// Forecast of the memory of peers' responses, per token held.
    pub per_token: &'a Forecast,
    /// Mean number of tokens that a response holds.
    pub mean_held: f64,
    pub settings: &'a DecisionSettings,
    pub now: Moment,
}

/// State of one engine: its last report, this instance's streams, and the state of each decision
/// about it.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub spec: Engine,
    /// When it went out of service; `None` while it may get work.
    pub left_at: Option<Moment>,
    pub own_requests: u32,
    pub peer_requests: u32,
    forecast: Forecast,
    report: Option<LoadReport>,
    peer_usage: PeerUsage,
    unreported_tokens: UnreportedAdmissions,
    unreported_requests: UnreportedAdmissions,
    gap_limit: GapLimit,
    cold_watch: ColdWatch,
    suspected_at: Option<Moment>,
    slow_start: SlowStart,
    lottery: RoomLottery,
    prefill: PrefillLimit,
}

impl EngineState {
    pub fn new(engine: &Engine, seed: u64) -> Self {
        Self {
            spec: engine.clone(),
            left_at: None,
            own_requests: 0,
            peer_requests: 0,
            forecast: Forecast::default(),
            report: None,
            peer_usage: PeerUsage::default(),
            unreported_tokens: UnreportedAdmissions::new(),
            unreported_requests: UnreportedAdmissions::new(),
            gap_limit: GapLimit::new(),
            cold_watch: ColdWatch::new(),
            suspected_at: None,
            slow_start: SlowStart::new(),
            lottery: RoomLottery::new(seed, &engine.id),
            prefill: PrefillLimit::new(),
        }
    }

    /// Updates the engine's settings; an engine that was out of service ramps up slowly.
    pub fn set_engine(&mut self, engine: &Engine, now: Moment) {
        if self.left_at.is_some() {
            self.slow_start.begin(now);
            self.gap_limit.reset();
        }
        if self.spec != *engine {
            self.spec = engine.clone();
        }
        self.left_at = None;
    }

    pub fn record_report(&mut self, report: &LoadReport, now: Moment) {
        let was_cold = self.report.as_ref().is_some_and(|r| r.cold);
        if was_cold && !report.cold {
            self.slow_start.begin(now);
            self.gap_limit.reset();
        }
        // Only a report made after the suspicion can clear it, not one that was already on its way.
        if self.suspected_at.is_some_and(|at| now.since(at) > report.age) {
            self.suspected_at = None;
        }
        self.peer_usage.record_report(
            report,
            self.forecast.mean[0],
            self.own_requests as usize,
            now,
        );
        self.report = Some(report.clone());
    }

    /// Returns the score of the engine for a request, lower being better; `None` if the request may
    /// not go there.
    pub fn score(&self, context: &PlacementContext<'_>) -> Option<f64> {
        if self.left_at.is_some() || context.request.avoid.contains(&self.spec.id) {
            return None;
        }
        if self.is_cold(context.now) {
            return self.may_start_cold().then(|| COLD_PENALTY + self.load(context));
        }
        let running = self.running(context.now);
        let ramp_limit = self.slow_start.limit(context.settings.ramp, context.now);
        if ramp_limit.is_some_and(|limit| f64::from(running) >= limit) {
            return None;
        }
        let is_short = !context.request.is_long;
        let is_allowed =
            self.gap_limit.allows(running, is_short, self.own_requests as usize, context.now)
                && self.prefill.allows(context.request.prompt, context.settings.prefill_limit);
        if !is_allowed {
            return None;
        }
        let load = self.load(context);
        (self.has_room(load, context) || self.is_empty(context)).then_some(load)
    }

    fn has_room(&self, load: f64, context: &PlacementContext<'_>) -> bool {
        let needed = context.forecast.peak(0.0) / self.spec.memory.max(1) as f64;
        let free = USABLE_MEMORY_SHARE - load + needed;
        load <= USABLE_MEMORY_SHARE
            && self.lottery.win(free, needed, self.spec.instance_count, context.now)
    }

    /// Records a request sent to this engine.
    pub fn record_start(&mut self, context: &PlacementContext<'_>) {
        self.own_requests += 1;
        self.forecast += context.forecast;
        self.prefill.record_sent(context.request.ticket, context.request.prompt);
        self.unreported_tokens.add(context.forecast.peak(0.0), context.now);
        self.unreported_requests.add(1.0, context.now);
    }

    /// Records a stream's first token.
    pub fn record_first_token(&mut self, ticket: Ticket) {
        self.prefill.record_read(ticket);
    }

    /// Records the gap before a stream's next token.
    pub fn record_gap(&mut self, gap: Duration, target: Duration, now: Moment) {
        let running = self.running(now);
        self.cold_watch.record_gap(gap, now);
        if self.cold_watch.is_suspect(now) {
            self.suspected_at = Some(now);
        }
        if !self.is_cold(now) {
            self.gap_limit.record_gap(gap, target, running, now);
        }
    }

    /// Replaces a stream's forecast.
    pub fn replace_forecast(&mut self, old: &Forecast, new: &Forecast) {
        self.forecast -= old;
        self.forecast += new;
    }

    /// Records the end of a stream.
    pub fn record_end(&mut self, ticket: Ticket, forecast: &Forecast) {
        self.prefill.record_read(ticket);
        self.own_requests = self.own_requests.saturating_sub(1);
        self.forecast -= forecast;
        if self.own_requests == 0 {
            self.forecast = Forecast::default();
        }
    }

    /// Records that the engine lost a stream. It may have restarted, so that it counts as cold
    /// until a later report shows otherwise; the next request could make a cold engine crash again
    /// before any report arrives.
    pub fn record_failure(&mut self, now: Moment) {
        self.suspected_at = Some(now);
    }

    /// Returns whether the engine counts as cold; one without a report does, as after its start.
    fn is_cold(&self, now: Moment) -> bool {
        self.report.as_ref().is_none_or(|r| r.cold)
            || self.suspected_at.is_some()
            || self.cold_watch.is_suspect(now)
    }

    fn may_start_cold(&self) -> bool {
        let Some(report) = &self.report else {
            return self.own_requests + self.peer_requests < self.spec.cold_right;
        };
        let in_flight =
            (report.running + report.waiting).max(self.own_requests + self.peer_requests);
        self.own_requests < self.spec.cold_right && in_flight < report.cold_limit
    }

    fn report_age(&self) -> Duration {
        self.report.as_ref().map_or(Duration::ZERO, |r| r.age)
    }

    fn peer_instances(&self) -> f64 {
        f64::from(self.spec.instance_count.saturating_sub(1))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive count; the cast saturates"
    )]
    fn running(&self, now: Moment) -> u32 {
        let unreported =
            self.unreported_requests.estimate(Duration::ZERO, now) * self.peer_instances();
        self.own_requests + self.peer_requests + unreported as u32
    }

    fn is_empty(&self, context: &PlacementContext<'_>) -> bool {
        let held_by_peers = self.peer_usage.held(self.peer_requests, context.mean_held);
        let unreported = self.unreported_tokens.estimate(self.report_age(), context.now);
        self.own_requests == 0 && held_by_peers + unreported < EMPTY_THRESHOLD * context.mean_held
    }

    /// Returns the peak part of the memory that will probably be held, including the request.
    fn load(&self, context: &PlacementContext<'_>) -> f64 {
        let held_by_peers = self.peer_usage.held(self.peer_requests, context.mean_held);
        let unreported =
            self.unreported_tokens.estimate(self.report_age(), context.now) * self.peer_instances();
        let sum = self.forecast.with_scaled(context.per_token, held_by_peers);
        let mut sum = sum.with_scaled(context.forecast, 1.0);
        let error = (PEER_MEMORY_ERROR * held_by_peers).powi(2);
        sum.variance.iter_mut().for_each(|v| *v += error);
        let peak = sum.peak(context.settings.reserve);
        (peak + unreported) / self.spec.memory.max(1) as f64
    }
}
