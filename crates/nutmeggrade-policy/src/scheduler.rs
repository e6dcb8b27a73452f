//! Admission and routing of generations.

mod placing;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::config::Weights;
use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

use crate::knobs::Knobs;
use crate::known::Known;
use crate::length::LengthEstimator;
use crate::memory::{AHEAD, Forecast, Mix};
use crate::queue::FairQueue;
use crate::router::Router;
use crate::stream::{LOOK, Stream};
use crate::wait::WaitEstimate;
use crate::{Ask, End, Engine, Spread, Ticket, Verdict};

/// Gap between tokens before any was seen.
const USUAL_GAP: Duration = Duration::from_millis(15);
/// How much slower than all engines one must be before it counts as slow. A model that decodes slowly
/// on every engine would otherwise close them all, and nobody would be served.
const SLOW: f64 = 2.5;
/// How long an engine that left is remembered: longer than maintenance of a failure domain, so that
/// it ramps up when it returns, and not for ever, as engines are replaced by others all the time.
const REMEMBER: Duration = Duration::from_hours(1);
/// Weight of a gap in the usual gap of all engines.
const NEW_GAP: f64 = 1.0 / 512.0;

/// Decides about generations: let in, wait or refuse, and on which engine.
#[derive(Debug)]
pub struct Scheduler {
    engines: BTreeMap<EndpointId, Known>,
    offered: Vec<Engine>,
    streams: BTreeMap<Ticket, Stream>,
    lengths: LengthEstimator,
    mix: Mix,
    router: Router,
    queue: FairQueue,
    queue_limit: usize,
    waits: [WaitEstimate; 2],
    looked: Moment,
    gap: Duration,
    knobs: Knobs,
    spread: Spread,
    seed: u64,
}

impl Scheduler {
    /// Makes a scheduler without engines; all its randomness comes from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            offered: Vec::new(),
            streams: BTreeMap::new(),
            lengths: LengthEstimator::new(),
            mix: Mix::default(),
            router: Router::new(seed.wrapping_add(1)),
            queue: FairQueue::new(),
            queue_limit: 0,
            waits: [WaitEstimate::new(), WaitEstimate::new()],
            looked: Moment::ZERO,
            gap: USUAL_GAP,
            knobs: Knobs::new(&Weights::default()),
            spread: Spread::new(seed),
            seed,
        }
    }

    /// Takes over the limits and weights of the preset in force.
    pub fn set_preset(&mut self, preset: &Preset) {
        self.queue_limit = preset.limits.queue as usize;
        self.knobs = Knobs::new(&preset.weights);
    }

    /// Replaces the engines that may get new work; what runs elsewhere runs on.
    pub fn set_engines(&mut self, engines: &[Engine], now: Moment) {
        if self.offered == engines {
            return;
        }
        let usable: BTreeSet<_> = engines.iter().map(|e| &e.id).collect();
        for id in self.offered.iter().map(|e| &e.id).filter(|id| !usable.contains(id)) {
            if let Some(known) = self.engines.get_mut(id) {
                known.left = Some(now);
            }
        }
        let forgotten = |k: &Known| k.left.is_some_and(|at| now.since(at) > REMEMBER);
        self.engines.retain(|_, k| k.own > 0 || !forgotten(k));
        for engine in engines {
            match self.engines.get_mut(&engine.id) {
                Some(known) => known.set_engine(engine, now),
                None => {
                    self.engines.insert(engine.id.clone(), Known::new(engine, self.seed));
                }
            }
        }
        let same = |(a, b): (&Engine, &Engine)| a.id == b.id && a.models == b.models;
        let unmoved = self.offered.len() == engines.len();
        if !unmoved || !self.offered.iter().zip(engines).all(same) {
            self.router.set_engines(engines);
        }
        self.offered = engines.to_vec();
    }

    /// Takes an engine's lagging report.
    pub fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment) {
        if let Some(known) = self.engines.get_mut(endpoint) {
            known.report(report, now);
        }
    }

    /// Takes what peers have in flight at each engine.
    pub fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, _now: Moment) {
        for (id, known) in &mut self.engines {
            known.peers = in_flight.get(id).copied().unwrap_or(0);
        }
    }

    /// Notes a token of a running generation.
    pub fn token(&mut self, ticket: Ticket, now: Moment) {
        let Some(stream) = self.streams.get_mut(&ticket) else { return };
        stream.done += 1;
        let last = stream.last.replace(now);
        if let Some(known) = self.engines.get_mut(&stream.endpoint) {
            if let Some(last) = last {
                let gap = now.since(last);
                let target = self.knobs.gap.max(self.gap.mul_f64(SLOW));
                known.gap(gap, target, now);
                // One stream that stands still says nothing of the pace of the others.
                let gap = gap.min(self.gap * 4);
                self.gap = self.gap.mul_f64(1.0 - NEW_GAP) + gap.mul_f64(NEW_GAP);
            } else {
                known.first(ticket);
            }
        }
        if stream.done - stream.learned >= LOOK {
            self.look(ticket);
        }
    }

    /// Notes the end of a request, running or waiting.
    pub fn end(&mut self, ticket: Ticket, end: End, now: Moment) {
        self.queue.remove(ticket);
        let Some(stream) = self.streams.remove(&ticket) else { return };
        self.mix.remove(&stream.forecast);
        if let Some(known) = self.engines.get_mut(&stream.endpoint) {
            known.end(ticket, &stream.forecast);
            if end == End::Failed {
                known.fail(now);
            }
        }
        let Stream { workspace, task, learned, done, .. } = &stream;
        self.lengths.grow(workspace, task, *learned, *done);
        if end == End::Finished && *done < stream.max {
            self.lengths.end(workspace, task, *done);
        }
    }

    /// Returns what this instance has in flight at each engine.
    pub fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        let busy = self.engines.iter().filter(|(_, k)| k.own > 0);
        busy.map(|(id, k)| (id.clone(), k.own)).collect()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Learns from a running answer and forecasts its memory anew.
    fn look(&mut self, ticket: Ticket) {
        let Some(stream) = self.streams.get_mut(&ticket) else { return };
        let Stream { workspace, task, done, max, .. } = &*stream;
        self.lengths.grow(workspace, task, stream.learned, *done);
        let chances = self.lengths.survival(workspace, task, *done, *max, &AHEAD);
        let fresh = Forecast::new(stream.prompt + *done, &chances);
        let old = std::mem::replace(&mut stream.forecast, fresh);
        stream.learned = stream.done;
        self.mix.remove(&old);
        self.mix.add(&fresh);
        if let Some(known) = self.engines.get_mut(&stream.endpoint) {
            known.grow(&old, &fresh);
        }
    }

    fn forecast(&self, ask: &Ask) -> Forecast {
        let Ask { workspace, task, max_tokens, .. } = ask;
        let chances = self.lengths.survival(workspace, task, 0, *max_tokens, &AHEAD);
        Forecast::new(ask.prompt, &chances)
    }

    fn refuse(&mut self, code: Code, wait: Duration) -> Verdict {
        Verdict::Refuse { code, retry_after: self.spread.draw(wait) }
    }
}
