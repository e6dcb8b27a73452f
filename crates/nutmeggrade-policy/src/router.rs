//! Which engines are looked at for a request.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Engine;
use crate::mix::{hash, mix};

/// Engines drawn for each request. Two are enough against a herd; four find the one engine in ten
/// that has room in most of the first tries.
pub const DRAWN: usize = 4;
/// Engines looked at that probably have the prompt's start in their cache.
pub const AFFINE: usize = 2;
/// Places of each engine on the ring; the largest arc is then under twice the mean.
const PLACES: u64 = 16;

#[derive(Debug, Default)]
struct Group {
    engines: Vec<EndpointId>,
    ring: BTreeMap<u64, u32>,
}

/// Draws a few engines at random, and those that a prefix belongs to.
///
/// Answers stale reports: when all instances send to the engine that looked best, it is the worst
/// before the next report. Instances that each choose the better of a few random engines don't
/// gather. A few engines a request also keep the cost of a decision flat, however many there are.
/// Requests with a common prefix meet on a ring, so that prompts are read from the cache; engines
/// that come or go move few prefixes.
#[derive(Debug)]
pub struct Router {
    groups: BTreeMap<ModelId, Group>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Makes a router without engines that depends on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { groups: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Replaces the engines.
    pub fn set_engines(&mut self, engines: &[Engine]) {
        let mut groups: BTreeMap<ModelId, Group> = BTreeMap::new();
        for engine in engines {
            for model in &engine.models {
                if !groups.contains_key(model) {
                    groups.insert(model.clone(), Group::default());
                }
                let Some(group) = groups.get_mut(model) else { continue };
                let index = u32::try_from(group.engines.len()).unwrap_or(u32::MAX);
                group.engines.push(engine.id.clone());
                let name = hash(engine.id.as_str().as_bytes());
                for place in 0..PLACES {
                    group.ring.insert(mix(name ^ mix(place)), index);
                }
            }
        }
        self.groups = groups;
    }

    /// Says whether any engine beside those to avoid offers the model.
    pub fn offers(&self, model: &ModelId, avoid: &BTreeSet<EndpointId>) -> bool {
        let group = self.groups.get(model);
        group.is_some_and(|g| g.engines.iter().any(|e| !avoid.contains(e)))
    }

    /// Returns the engines that a prefix belongs to, the first one first.
    pub fn affine(&self, model: &ModelId, prefix: u64) -> impl Iterator<Item = &EndpointId> {
        let group = self.groups.get(model).filter(|_| prefix != 0);
        let at = mix(prefix);
        let mut last = u32::MAX;
        group.into_iter().flat_map(move |g| {
            let arcs = g.ring.range(at..).chain(g.ring.range(..at));
            let new = arcs.filter_map(move |(_, i)| {
                let repeated = std::mem::replace(&mut last, *i) == *i;
                g.engines.get(*i as usize).filter(|_| !repeated)
            });
            new.take(AFFINE)
        })
    }

    /// Draws engines at random, each at most once.
    pub fn draw(&mut self, model: &ModelId) -> impl Iterator<Item = &EndpointId> {
        let engines = self.groups.get(model).map_or(&[][..], |g| g.engines.as_slice());
        let count = engines.len().min(DRAWN);
        // Neighbours in the list are spread over domains; a stride that is no divisor keeps them so.
        let first = if count == 0 { 0 } else { self.rng.random_range(0..engines.len()) };
        let jump = if engines.len() > DRAWN {
            self.rng.random_range(1..=engines.len() / DRAWN)
        } else {
            1
        };
        (0..count).map(move |i| &engines[(first + i * jump) % engines.len()])
    }
}
