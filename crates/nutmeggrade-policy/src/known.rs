//! What this instance knows of one engine.

use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

use crate::cold_watch::ColdWatch;
use crate::gap::GapLimit;
use crate::knobs::Knobs;
use crate::lots::Lots;
use crate::memory::{Forecast, Others};
use crate::prefill::PrefillPace;
use crate::share::Unseen;
use crate::slow_start::SlowStart;
use crate::{Ask, Engine, Ticket};

/// Part of the memory that answers may probably fill; the engine's own blocks take the rest.
const USABLE: f64 = 0.97;
/// Part of a usual answer under which an engine counts as empty.
const EMPTY: f64 = 0.1;
/// Relative error of what peers hold: counts that are half a second old, and their mix not quite the
/// own one. Without it the one instance of seven whose guess is lowest always lets the next one in.
const GUESS: f64 = 0.15;
/// What a cold start adds to an engine's score: any warm engine with room goes first.
const COLD: f64 = 1.0;

/// What one decision looks at beside the engine itself.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub ask: &'a Ask,
    pub forecast: &'a Forecast,
    /// Forecast of a peer's usual answer, per token held.
    pub others: &'a Forecast,
    /// Tokens that a usual answer holds.
    pub usual: f64,
    pub knobs: &'a Knobs,
    pub now: Moment,
}

/// One engine: reports, own streams, and the state of each decision about it.
#[derive(Debug)]
pub(crate) struct Known {
    pub engine: Engine,
    /// Since when it has been out of service; `None` while it may get work.
    pub left: Option<Moment>,
    pub own: u32,
    pub peers: u32,
    forecast: Forecast,
    report: Option<LoadReport>,
    others: Others,
    unseen: Unseen,
    admitted: Unseen,
    gap: GapLimit,
    watch: ColdWatch,
    doubt: Option<Moment>,
    ramp: SlowStart,
    lots: Lots,
    pace: PrefillPace,
}

impl Known {
    pub fn new(engine: &Engine, seed: u64) -> Self {
        Self {
            engine: engine.clone(),
            left: None,
            own: 0,
            peers: 0,
            forecast: Forecast::default(),
            report: None,
            others: Others::default(),
            unseen: Unseen::new(),
            admitted: Unseen::new(),
            gap: GapLimit::new(),
            watch: ColdWatch::new(),
            doubt: None,
            ramp: SlowStart::new(),
            lots: Lots::new(seed, &engine.id),
            pace: PrefillPace::new(),
        }
    }

    /// Takes the engine's settings over; one that was out of service starts slowly.
    pub fn set_engine(&mut self, engine: &Engine, now: Moment) {
        if self.left.is_some() {
            self.ramp.begin(now);
            self.gap.reset();
        }
        if self.engine != *engine {
            self.engine = engine.clone();
        }
        self.left = None;
    }

    pub fn report(&mut self, report: &LoadReport, now: Moment) {
        let was_cold = self.report.as_ref().is_some_and(|r| r.cold);
        if was_cold && !report.cold {
            self.ramp.begin(now);
            self.gap.reset();
        }
        // Only a report made since can lift the doubt; one that was under way says nothing.
        if self.doubt.is_some_and(|d| now.since(d) > report.age) {
            self.doubt = None;
        }
        self.others.report(report, self.forecast.mean[0], self.own as usize, now);
        self.report = Some(report.clone());
    }

    /// Returns the score of the engine for a request, lower being better; `None` if it may not go
    /// there.
    pub fn score(&self, view: &View<'_>) -> Option<f64> {
        if self.left.is_some() || view.ask.avoid.contains(&self.engine.id) {
            return None;
        }
        if self.is_cold(view.now) {
            return self.has_cold_right().then(|| COLD + self.load(view));
        }
        let running = self.running(view.now);
        let ramp = self.ramp.limit(view.knobs.ramp, view.now);
        if ramp.is_some_and(|limit| f64::from(running) >= limit) {
            return None;
        }
        let short = !view.ask.long;
        let fits = self.gap.allows(running, short, self.own as usize, view.now)
            && self.pace.allows(view.ask.prompt, view.knobs.unread);
        if !fits {
            return None;
        }
        let load = self.load(view);
        (self.has_room(load, view) || self.is_empty(view)).then_some(load)
    }

    fn has_room(&self, load: f64, view: &View<'_>) -> bool {
        let need = view.forecast.peak(0.0) / self.engine.memory.max(1) as f64;
        let room = USABLE - load + need;
        load <= USABLE && self.lots.win(room, need, self.engine.sharers, view.now)
    }

    /// Notes a request that goes here.
    pub fn start(&mut self, view: &View<'_>) {
        self.own += 1;
        self.forecast += view.forecast;
        self.pace.sent(view.ask.ticket, view.ask.prompt);
        self.unseen.add(view.forecast.peak(0.0), view.now);
        self.admitted.add(1.0, view.now);
    }

    /// Notes a stream's first token.
    pub fn first(&mut self, ticket: Ticket) {
        self.pace.read(ticket);
    }

    /// Notes the gap before a stream's next token.
    pub fn gap(&mut self, gap: Duration, target: Duration, now: Moment) {
        let running = self.running(now);
        self.watch.gap(gap, now);
        if self.watch.is_suspect(now) {
            self.doubt = Some(now);
        }
        if !self.is_cold(now) {
            self.gap.gap(gap, target, running, now);
        }
    }

    /// Replaces a stream's forecast.
    pub fn grow(&mut self, old: &Forecast, new: &Forecast) {
        self.forecast -= old;
        self.forecast += new;
    }

    /// Notes that a stream is over.
    pub fn end(&mut self, ticket: Ticket, forecast: &Forecast) {
        self.pace.read(ticket);
        self.own = self.own.saturating_sub(1);
        self.forecast -= forecast;
        if self.own == 0 {
            self.forecast = Forecast::default();
        }
    }

    /// Notes that the engine lost a stream: it may have restarted, so that it counts as cold until a
    /// report made after this says otherwise. Else the next request meets it cold, and it falls over
    /// again before any report is there.
    pub fn fail(&mut self, now: Moment) {
        self.doubt = Some(now);
    }

    /// An engine that nobody has heard of yet is taken for cold, as after its start.
    fn is_cold(&self, now: Moment) -> bool {
        self.report.as_ref().is_none_or(|r| r.cold)
            || self.doubt.is_some()
            || self.watch.is_suspect(now)
    }

    fn has_cold_right(&self) -> bool {
        let Some(report) = &self.report else {
            return self.own + self.peers < self.engine.cold_right;
        };
        let held = (report.running + report.waiting).max(self.own + self.peers);
        self.own < self.engine.cold_right && held < report.cold_limit
    }

    fn age(&self) -> Duration {
        self.report.as_ref().map_or(Duration::ZERO, |r| r.age)
    }

    fn peer_count(&self) -> f64 {
        f64::from(self.engine.sharers.saturating_sub(1))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive count; the cast saturates"
    )]
    fn running(&self, now: Moment) -> u32 {
        let unseen = self.admitted.now(Duration::ZERO, now) * self.peer_count();
        self.own + self.peers + unseen as u32
    }

    fn is_empty(&self, view: &View<'_>) -> bool {
        let others = self.others.held(self.peers, view.usual);
        let unseen = self.unseen.now(self.age(), view.now);
        self.own == 0 && others + unseen < EMPTY * view.usual
    }

    /// Returns the part of the memory that will probably be held at the worst time ahead.
    fn load(&self, view: &View<'_>) -> f64 {
        let others = self.others.held(self.peers, view.usual);
        let unseen = self.unseen.now(self.age(), view.now) * self.peer_count();
        let sum = self.forecast.with_scaled(view.others, others);
        let mut sum = sum.with_scaled(view.forecast, 1.0);
        let error = (GUESS * others).powi(2);
        sum.variance.iter_mut().for_each(|v| *v += error);
        let peak = sum.peak(view.knobs.reserve);
        (peak + unseen) / self.engine.memory.max(1) as f64
    }
}
