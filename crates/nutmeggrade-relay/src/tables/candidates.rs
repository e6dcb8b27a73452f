//! Endpoints that may get work, derived from the registry, the route map and the limits.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{RouteMap, ServiceSpec};
use nutmeggrade_policy::dispatch::Candidate;
use nutmeggrade_policy::fleet::Turn;
use nutmeggrade_policy::rollout::canary_endpoints;
use nutmeggrade_state::registry::{ChangedIds, Registered};
use nutmeggrade_state::rollout::VersionRole;

use super::Tables;
use crate::settings::Settings;

impl Tables {
    /// Recomputes which endpoints may get work: those that changed since the last call and those
    /// whose limits depend on the time, or all if the route map, the evacuated failure domains or
    /// the rules for versions changed.
    ///
    /// This runs ten times a second and at each change of an endpoint. With 10,000 endpoints,
    /// recomputing all of them took more processor time than the requests. Returns the number of
    /// endpoints that were recomputed.
    pub fn refresh(&mut self, map: &RouteMap, settings: &Settings, now: Moment) -> usize {
        self.refresh_versions(settings, now);
        let turns = self.refresh_turns(now);
        let changed = self.registry.take_changed();
        let is_same_map = self.map_version == map.version;
        self.map_version = map.version;
        if !is_same_map {
            self.dispatcher.paces.set_gap_limits(map.gap_limits());
        }
        let count = match changed {
            ChangedIds::Some(ids) if is_same_map && !self.registry.has_version_rules() => {
                let mut ids = ids;
                ids.extend(self.cold_shares.keys().cloned());
                ids.extend(self.limited.iter().cloned());
                ids.extend(turns.keys().cloned());
                for id in &ids {
                    self.refresh_endpoint(id, map, settings, turns.get(id).copied(), now);
                }
                ids.len()
            }
            _ => {
                self.refresh_all(map, settings, &turns, now);
                self.registry.len()
            }
        };
        self.limited = turns.into_keys().collect();
        count
    }

    fn refresh_endpoint(
        &mut self,
        id: &EndpointId,
        map: &RouteMap,
        settings: &Settings,
        turn: Option<Turn>,
        now: Moment,
    ) {
        let entry = self.registry.get_usable(id);
        let spec = entry.and_then(|entry| map.service(&entry.info.service));
        let Some((entry, spec)) = entry.zip(spec) else {
            self.dispatcher.remove_candidate(id);
            self.cold_shares.remove(id);
            if self.registry.get(id).is_none() {
                self.dispatcher.load_table.remove_endpoint(id);
                self.dispatcher.paces.remove_endpoint(id);
                self.dispatcher.holds.remove_endpoint(id);
            }
            return;
        };
        let mut candidate = to_candidate(entry, spec);
        candidate.turn = turn;
        let bound = cold_rate_limit(entry, spec, settings, now);
        candidate.cold_left = self.cold_left(id, bound, now);
        self.dispatcher.put_candidate(&spec.name, candidate);
    }

    /// Returns how many requests this instance may send a cold endpoint at present, if its rate has
    /// a bound.
    fn cold_left(&mut self, id: &EndpointId, bound: Option<u32>, now: Moment) -> Option<u32> {
        let Some(bound) = bound else {
            self.cold_shares.remove(id);
            return None;
        };
        let (rank, count) = (self.fleet.rank(id, now), self.fleet.instance_count(now));
        let share = self.cold_shares.entry(id.clone()).or_default();
        Some(share.remaining(bound, rank, count, now))
    }

    fn refresh_all(
        &mut self,
        map: &RouteMap,
        settings: &Settings,
        turns: &BTreeMap<EndpointId, Turn>,
        now: Moment,
    ) {
        let mut candidates: BTreeMap<ServiceId, Vec<Candidate>> = BTreeMap::new();
        let mut canaries: BTreeMap<&ServiceId, Vec<Candidate>> = BTreeMap::new();
        let mut cold_bounds: BTreeMap<EndpointId, u32> = BTreeMap::new();
        for entry in self.registry.usable() {
            let Some(spec) = map.service(&entry.info.service) else { continue };
            let mut candidate = to_candidate(entry, spec);
            candidate.turn = turns.get(&entry.info.id).copied();
            if let Some(bound) = cold_rate_limit(entry, spec, settings, now) {
                cold_bounds.insert(entry.info.id.clone(), bound);
            }
            if self.registry.role(&entry.info) != VersionRole::Canary {
                candidates.entry(spec.name.clone()).or_default().push(candidate);
            } else if entry.is_warm(now) {
                candidate.is_canary = true;
                canaries.entry(&spec.name).or_default().push(candidate);
            }
        }
        for (service, all) in canaries {
            let count = canary_endpoints(all.len(), self.rollouts.share(service, now));
            candidates.entry(service.clone()).or_default().extend(all.into_iter().take(count));
        }
        self.cold_shares.retain(|id, _| cold_bounds.contains_key(id));
        for candidate in candidates.values_mut().flatten() {
            let bound = cold_bounds.get(&candidate.id).copied();
            candidate.cold_left = self.cold_left(&candidate.id, bound, now);
        }
        let registry = &self.registry;
        self.dispatcher.load_table.retain_endpoints(|id| registry.get(id).is_some());
        self.dispatcher.paces.retain_endpoints(|id| registry.get(id).is_some());
        self.dispatcher.holds.retain_endpoints(|id| registry.get(id).is_some());
        self.dispatcher.set_candidates(candidates);
    }
}

fn to_candidate(entry: &Registered, spec: &ServiceSpec) -> Candidate {
    let slots = spec.engine.map_or(entry.info.slots, |e| e.slots);
    Candidate {
        id: entry.info.id.clone(),
        domain: entry.info.domain.clone(),
        version: entry.info.version.clone(),
        slots,
        memory: spec.engine.map(|e| e.memory),
        cold_left: None,
        turn: None,
        is_canary: false,
    }
}

/// Returns how many requests per second a cold endpoint may get from all instances together. A service
/// whose endpoints are never cold states neither a time nor a rate.
fn cold_rate_limit(
    entry: &Registered,
    spec: &ServiceSpec,
    settings: &Settings,
    now: Moment,
) -> Option<u32> {
    let is_never_cold = spec.cold_time.is_zero() && spec.cold_rate <= 0.0;
    if entry.cold_until <= now || is_never_cold {
        return None;
    }
    let bound = spec.cold_rate.max(0.0) * settings.cold_overrun + settings.cold_tolerance;
    // A bound above 65,535 requests per second is cut to that, which no endpoint can serve anyway.
    let steps = (0..16).rev().map(|bit| 1_u32 << bit);
    Some(steps.fold(0, |sum, step| if f64::from(sum + step) <= bound { sum + step } else { sum }))
}
