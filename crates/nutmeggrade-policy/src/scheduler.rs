//! Admission and routing of generations.

mod placing;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::config::Weights;
use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

use crate::decision_settings::DecisionSettings;
use crate::engine_state::EngineState;
use crate::length::LengthEstimator;
use crate::memory::{FORECAST_STEPS, Forecast, ResponseMix};
use crate::queue::FairQueue;
use crate::router::Router;
use crate::stream::{Stream, UPDATE_INTERVAL_TOKENS};
use crate::wait_estimate::WaitEstimate;
use crate::{End, Engine, GenerationRequest, RetryJitter, Ticket, Verdict};

/// Mean gap between tokens before any has been measured.
const INITIAL_TOKEN_GAP: Duration = Duration::from_millis(15);
/// Gap, as a multiple of the mean over all engines, above which an engine counts as slow. A model
/// that decodes slowly on every engine would otherwise close them all.
const SLOW_ENGINE_FACTOR: f64 = 2.5;
/// Time for which an engine that left is kept: longer than maintenance of a failure domain, so that
/// it ramps up when it returns, but bounded, since engines are replaced all the time.
const DEPARTED_ENGINE_TTL: Duration = Duration::from_hours(1);
/// Weight of a new gap in the mean gap of all engines.
const GAP_WEIGHT: f64 = 1.0 / 512.0;

/// Admits, queues or refuses generations, and selects their engines.
#[derive(Debug)]
pub struct Scheduler {
    engines: BTreeMap<EndpointId, EngineState>,
    usable: Vec<Engine>,
    streams: BTreeMap<Ticket, Stream>,
    lengths: LengthEstimator,
    response_mix: ResponseMix,
    router: Router,
    queue: FairQueue,
    queue_limit: usize,
    wait_estimates: [WaitEstimate; 2],
    last_sweep: Moment,
    mean_gap: Duration,
    settings: DecisionSettings,
    jitter: RetryJitter,
    seed: u64,
}

impl Scheduler {
    /// Creates a scheduler without engines; all its randomness comes from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            usable: Vec::new(),
            streams: BTreeMap::new(),
            lengths: LengthEstimator::new(),
            response_mix: ResponseMix::default(),
            router: Router::new(seed.wrapping_add(1)),
            queue: FairQueue::new(),
            queue_limit: 0,
            wait_estimates: [WaitEstimate::new(), WaitEstimate::new()],
            last_sweep: Moment::ZERO,
            mean_gap: INITIAL_TOKEN_GAP,
            settings: DecisionSettings::new(&Weights::default()),
            jitter: RetryJitter::new(seed),
            seed,
        }
    }

    /// Applies the limits and weights of the active preset.
    pub fn set_preset(&mut self, preset: &Preset) {
        self.queue_limit = preset.limits.queue as usize;
        self.settings = DecisionSettings::new(&preset.weights);
    }

    /// Replaces the engines that may get new work; generations on other engines continue.
    pub fn set_engines(&mut self, engines: &[Engine], now: Moment) {
        if self.usable == engines {
            return;
        }
        let new_ids: BTreeSet<_> = engines.iter().map(|e| &e.id).collect();
        for id in self.usable.iter().map(|e| &e.id).filter(|id| !new_ids.contains(id)) {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.left_at = Some(now);
            }
        }
        let is_forgotten =
            |k: &EngineState| k.left_at.is_some_and(|at| now.since(at) > DEPARTED_ENGINE_TTL);
        self.engines.retain(|_, k| k.own_requests > 0 || !is_forgotten(k));
        for engine in engines {
            match self.engines.get_mut(&engine.id) {
                Some(state) => state.set_engine(engine, now),
                None => {
                    self.engines.insert(engine.id.clone(), EngineState::new(engine, self.seed));
                }
            }
        }
        let is_same = |(a, b): (&Engine, &Engine)| a.id == b.id && a.models == b.models;
        let same_length = self.usable.len() == engines.len();
        if !same_length || !self.usable.iter().zip(engines).all(is_same) {
            self.router.set_engines(engines);
        }
        self.usable = engines.to_vec();
    }

    /// Records an engine's load report, which describes the engine as it was `report.age` ago.
    pub fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.record_report(report, now);
        }
    }

    /// Replaces the number of requests that peers have in flight at each engine.
    pub fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, _now: Moment) {
        for (id, engine) in &mut self.engines {
            engine.peer_requests = in_flight.get(id).copied().unwrap_or(0);
        }
    }

    /// Records a token of a running generation.
    pub fn token(&mut self, ticket: Ticket, now: Moment) {
        let Some(stream) = self.streams.get_mut(&ticket) else { return };
        stream.generated += 1;
        let last = stream.last_token.replace(now);
        if let Some(engine) = self.engines.get_mut(&stream.endpoint) {
            if let Some(last) = last {
                let gap = now.since(last);
                let target = self.settings.gap.max(self.mean_gap.mul_f64(SLOW_ENGINE_FACTOR));
                engine.record_gap(gap, target, now);
                // A single stalled stream must not dominate the mean.
                let gap = gap.min(self.mean_gap * 4);
                self.mean_gap = self.mean_gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
            } else {
                engine.record_first_token(ticket);
            }
        }
        if stream.generated - stream.recorded >= UPDATE_INTERVAL_TOKENS {
            self.update_forecast(ticket);
        }
    }

    /// Records the end of a request, running or waiting.
    pub fn end(&mut self, ticket: Ticket, end: End, now: Moment) {
        self.queue.remove(ticket);
        let Some(stream) = self.streams.remove(&ticket) else { return };
        self.response_mix.remove(&stream.forecast);
        if let Some(engine) = self.engines.get_mut(&stream.endpoint) {
            engine.record_end(ticket, &stream.forecast);
            if end == End::Failed {
                engine.record_failure(now);
            }
        }
        let Stream { workspace, task, recorded, generated, .. } = &stream;
        self.lengths.grow(workspace, task, *recorded, *generated);
        if end == End::Finished && *generated < stream.max_tokens {
            self.lengths.end(workspace, task, *generated);
        }
    }

    /// Returns the number of requests that this instance has in flight at each engine.
    pub fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        let busy = self.engines.iter().filter(|(_, k)| k.own_requests > 0);
        busy.map(|(id, k)| (id.clone(), k.own_requests)).collect()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Updates the length estimates from a running response and renews its memory forecast.
    fn update_forecast(&mut self, ticket: Ticket) {
        let Some(stream) = self.streams.get_mut(&ticket) else { return };
        let Stream { workspace, task, generated, max_tokens, .. } = &*stream;
        self.lengths.grow(workspace, task, stream.recorded, *generated);
        let survival =
            self.lengths.survival(workspace, task, *generated, *max_tokens, &FORECAST_STEPS);
        let forecast = Forecast::new(stream.prompt + *generated, &survival);
        let old = std::mem::replace(&mut stream.forecast, forecast);
        stream.recorded = stream.generated;
        self.response_mix.remove(&old);
        self.response_mix.add(&forecast);
        if let Some(engine) = self.engines.get_mut(&stream.endpoint) {
            engine.replace_forecast(&old, &forecast);
        }
    }

    fn forecast(&self, request: &GenerationRequest) -> Forecast {
        let GenerationRequest { workspace, task, max_tokens, .. } = request;
        let survival = self.lengths.survival(workspace, task, 0, *max_tokens, &FORECAST_STEPS);
        Forecast::new(request.prompt, &survival)
    }

    fn refuse(&mut self, code: Code, wait: Duration) -> Verdict {
        Verdict::Refuse { code, retry_after: self.jitter.draw(wait) }
    }
}
