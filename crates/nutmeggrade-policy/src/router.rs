//! Selection of candidate engines for a request.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Engine;
use crate::hash::{hash_bytes, mix_bits};

/// Engines drawn at random for each request. Two are enough to avoid herding; with four the first
/// draw usually includes the one engine in ten that has room.
pub const CANDIDATES_PER_REQUEST: usize = 4;
/// Engines tried that probably have the prompt prefix in their cache.
pub const AFFINE_CANDIDATES: usize = 2;
/// Points of each engine on the hash ring; the largest arc is then under twice the mean.
const RING_POINTS_PER_ENGINE: u64 = 16;

#[derive(Debug, Default)]
struct ModelEngines {
    engines: Vec<EndpointId>,
    ring: BTreeMap<u64, u32>,
}

/// Draws a few engines at random, and maps prompt prefixes to engines on a hash ring.
///
/// If all instances sent requests to the engine that looks best in stale reports, it would be
/// overloaded before the next report. Instances that each choose the better of a few random engines
/// don't gather on one. Drawing a few engines per request also keeps the cost of a decision
/// constant in the number of engines. Requests with a common prefix map to the same engines, so
/// that prompts are read from the cache; few prefixes move when engines join or leave.
#[derive(Debug)]
pub struct Router {
    groups: BTreeMap<ModelId, ModelEngines>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without engines whose draws depend on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { groups: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Replaces the engines.
    pub fn set_engines(&mut self, engines: &[Engine]) {
        let mut groups: BTreeMap<ModelId, ModelEngines> = BTreeMap::new();
        for engine in engines {
            for model in &engine.models {
                if !groups.contains_key(model) {
                    groups.insert(model.clone(), ModelEngines::default());
                }
                let Some(group) = groups.get_mut(model) else { continue };
                let index = u32::try_from(group.engines.len()).unwrap_or(u32::MAX);
                group.engines.push(engine.id.clone());
                let id_hash = hash_bytes(engine.id.as_str().as_bytes());
                for point in 0..RING_POINTS_PER_ENGINE {
                    group.ring.insert(mix_bits(id_hash ^ mix_bits(point)), index);
                }
            }
        }
        self.groups = groups;
    }

    /// Returns whether any engine outside `avoid` serves the model.
    pub fn offers(&self, model: &ModelId, avoid: &BTreeSet<EndpointId>) -> bool {
        let group = self.groups.get(model);
        group.is_some_and(|g| g.engines.iter().any(|e| !avoid.contains(e)))
    }

    /// Returns the engines that a prefix maps to, in ring order.
    pub fn prefix_engines(
        &self,
        model: &ModelId,
        prefix: u64,
    ) -> impl Iterator<Item = &EndpointId> {
        let group = self.groups.get(model).filter(|_| prefix != 0);
        let position = mix_bits(prefix);
        let mut last_index = u32::MAX;
        group.into_iter().flat_map(move |g| {
            let arcs = g.ring.range(position..).chain(g.ring.range(..position));
            let distinct = arcs.filter_map(move |(_, i)| {
                let repeated = std::mem::replace(&mut last_index, *i) == *i;
                g.engines.get(*i as usize).filter(|_| !repeated)
            });
            distinct.take(AFFINE_CANDIDATES)
        })
    }

    /// Draws engines at random, each at most once.
    pub fn draw(&mut self, model: &ModelId) -> impl Iterator<Item = &EndpointId> {
        let engines = self.groups.get(model).map_or(&[][..], |g| g.engines.as_slice());
        let count = engines.len().min(CANDIDATES_PER_REQUEST);
        // Neighbors in the list are spread over failure domains, so that a constant stride keeps
        // the draws spread. The stride is at most a [`CANDIDATES_PER_REQUEST`]th of the list: no
        // engine is drawn twice.
        let first = if count == 0 { 0 } else { self.rng.random_range(0..engines.len()) };
        let stride = if engines.len() > CANDIDATES_PER_REQUEST {
            self.rng.random_range(1..=engines.len() / CANDIDATES_PER_REQUEST)
        } else {
            1
        };
        (0..count).map(move |i| &engines[(first + i * stride) % engines.len()])
    }
}
