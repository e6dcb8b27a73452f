//! Engine selection for a request.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::Scheduler;
use crate::engine_state::PlacementContext;
use crate::memory::Forecast;
use crate::priority::Priority;
use crate::router::{AFFINE_CANDIDATES, CANDIDATES_PER_REQUEST};
use crate::stream::Stream;
use crate::{GenerationRequest, Verdict};

/// Load that an engine with the cached prompt prefix may have, as a multiple of the mean load of
/// the randomly drawn engines.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

impl Scheduler {
    /// Starts a request if an engine has room for it.
    pub(super) fn place(&mut self, request: &GenerationRequest, now: Moment) -> Option<Verdict> {
        let forecast = self.forecast(request);
        let endpoint = self.choose_engine(request, &forecast, now)?;
        let time_left = request.deadline.since(now);
        let expected = self.expected_duration(request);
        let engine = self.engines.get_mut(&endpoint)?;
        let memory_share = forecast.peak(0.0) / engine.spec.memory.max(1) as f64;
        let priority = Priority::new(request.is_long, time_left, expected, memory_share).number();
        let per_token = self.response_mix.per_token();
        let mean_held = self.response_mix.mean_held();
        let settings = &self.settings;
        engine.record_start(&PlacementContext {
            request,
            forecast: &forecast,
            per_token: &per_token,
            mean_held,
            settings,
            now,
        });
        self.response_mix.add(&forecast);
        let stream = Stream {
            endpoint: endpoint.clone(),
            workspace: request.workspace.clone(),
            task: request.task.clone(),
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            generated: 0,
            recorded: 0,
            last_token: None,
            forecast,
        };
        self.streams.insert(request.ticket, stream);
        Some(Verdict::Go { endpoint, priority })
    }

    /// Returns the expected duration of a response from its start on an engine.
    pub(super) fn expected_duration(&self, request: &GenerationRequest) -> Duration {
        let GenerationRequest { workspace, task, max_tokens, .. } = request;
        let tokens = self.lengths.remaining(workspace, task, 0, *max_tokens);
        self.mean_gap.mul_f64(tokens)
    }

    fn choose_engine(
        &mut self,
        request: &GenerationRequest,
        forecast: &Forecast,
        now: Moment,
    ) -> Option<EndpointId> {
        let per_token = self.response_mix.per_token();
        let mean_held = self.response_mix.mean_held();
        let context = PlacementContext {
            request,
            forecast,
            per_token: &per_token,
            mean_held,
            settings: &self.settings,
            now,
        };
        let engines = &self.engines;
        let score = |id: &EndpointId| engines.get(id).and_then(|k| k.score(&context));

        let mut best: Option<(f64, &EndpointId)> = None;
        let mut score_sum = 0.0;
        let mut scored = 0.0;
        for id in self.router.draw(&request.model).take(CANDIDATES_PER_REQUEST) {
            let Some(score) = score(id) else { continue };
            score_sum += score;
            scored += 1.0;
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, id));
            }
        }
        let least_loaded = best.map(|(_, id)| id.clone());
        let load_bound = if scored > 0.0 {
            AFFINITY_LOAD_FACTOR * score_sum / scored + self.settings.affinity_margin
        } else {
            1.0
        };
        let mut affine =
            self.router.prefix_engines(&request.model, request.prefix).take(AFFINE_CANDIDATES);
        let cached = affine.find(|id| score(id).is_some_and(|s| s <= load_bound));
        cached.cloned().or(least_loaded)
    }
}
