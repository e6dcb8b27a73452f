//! Choosing the engine of a request.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::Scheduler;
use crate::known::View;
use crate::memory::Forecast;
use crate::priority::Priority;
use crate::router::{AFFINE, DRAWN};
use crate::stream::Stream;
use crate::{Ask, Verdict};

/// How much fuller than the drawn engines one with the prompt's start in its cache may be.
const BOUND: f64 = 1.25;

impl Scheduler {
    /// Starts a request if an engine has room for it.
    pub(super) fn place(&mut self, ask: &Ask, now: Moment) -> Option<Verdict> {
        let forecast = self.forecast(ask);
        let endpoint = self.choose(ask, &forecast, now)?;
        let left = ask.deadline.since(now);
        let service = self.service(ask);
        let known = self.engines.get_mut(&endpoint)?;
        let share = forecast.peak(0.0) / known.engine.memory.max(1) as f64;
        let priority = Priority::new(ask.long, left, service, share).number();
        let others = self.mix.per_token();
        let usual = self.mix.mean_held();
        let knobs = &self.knobs;
        known.start(&View { ask, forecast: &forecast, others: &others, usual, knobs, now });
        self.mix.add(&forecast);
        let stream = Stream {
            endpoint: endpoint.clone(),
            workspace: ask.workspace.clone(),
            task: ask.task.clone(),
            prompt: ask.prompt,
            max: ask.max_tokens,
            done: 0,
            learned: 0,
            last: None,
            forecast,
        };
        self.streams.insert(ask.ticket, stream);
        Some(Verdict::Go { endpoint, priority })
    }

    /// Returns the time that an answer is expected to take once it runs.
    pub(super) fn service(&self, ask: &Ask) -> Duration {
        let Ask { workspace, task, max_tokens, .. } = ask;
        let tokens = self.lengths.remaining(workspace, task, 0, *max_tokens);
        self.gap.mul_f64(tokens)
    }

    fn choose(&mut self, ask: &Ask, forecast: &Forecast, now: Moment) -> Option<EndpointId> {
        let others = self.mix.per_token();
        let usual = self.mix.mean_held();
        let view = View { ask, forecast, others: &others, usual, knobs: &self.knobs, now };
        let engines = &self.engines;
        let score = |id: &EndpointId| engines.get(id).and_then(|k| k.score(&view));

        let mut best: Option<(f64, &EndpointId)> = None;
        let mut sum = 0.0;
        let mut count = 0.0;
        for id in self.router.draw(&ask.model).take(DRAWN) {
            let Some(score) = score(id) else { continue };
            sum += score;
            count += 1.0;
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, id));
            }
        }
        let best = best.map(|(_, id)| id.clone());
        let bound = if count > 0.0 { BOUND * sum / count + self.knobs.cached } else { 1.0 };
        let mut affine = self.router.affine(&ask.model, ask.prefix).take(AFFINE);
        let cached = affine.find(|id| score(id).is_some_and(|s| s <= bound));
        cached.cloned().or(best)
    }
}
