//! Endpoints of all services that may get new work.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;

use super::{Candidate, CandidatePool};

/// Endpoints of one service.
#[derive(Debug, Default)]
struct ServicePool {
    regular: CandidatePool,
    canaries: CandidatePool,
}

/// Endpoints of all services that may get new work, apart from those that accept only requests
/// selected for a new version.
#[derive(Debug, Default)]
pub struct ServicePools {
    services: BTreeMap<ServiceId, ServicePool>,
}

impl ServicePools {
    /// Creates pools without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the endpoints of all services.
    pub fn replace(&mut self, candidates: BTreeMap<ServiceId, Vec<Candidate>>) {
        self.services.clear();
        for (service, all) in candidates {
            for candidate in all {
                self.put(&service, candidate);
            }
        }
    }

    /// Adds an endpoint of a service, or replaces its entry.
    pub fn put(&mut self, service: &ServiceId, candidate: Candidate) {
        let pool = self.services.entry(service.clone()).or_default();
        let (target, other) = if candidate.is_canary {
            (&mut pool.canaries, &mut pool.regular)
        } else {
            (&mut pool.regular, &mut pool.canaries)
        };
        other.remove(&candidate.id);
        target.put(candidate);
    }

    /// Removes an endpoint from all services except `kept`.
    pub fn remove(&mut self, id: &EndpointId, kept: Option<&ServiceId>) {
        for (_, pool) in self.services.iter_mut().filter(|(service, _)| Some(*service) != kept) {
            pool.regular.remove(id);
            pool.canaries.remove(id);
        }
        self.services.retain(|_, pool| !pool.regular.is_empty() || !pool.canaries.is_empty());
    }

    /// Returns an endpoint of a service for update.
    pub fn get_mut(&mut self, service: &ServiceId, id: &EndpointId) -> Option<&mut Candidate> {
        let pool = self.services.get_mut(service)?;
        pool.regular.get_mut(id).or_else(|| pool.canaries.get_mut(id))
    }

    /// Returns the service of an endpoint, and its entry.
    pub fn find_any(&self, id: &EndpointId) -> Option<(&ServiceId, &Candidate)> {
        self.services.iter().find_map(|(service, pool)| {
            let candidate = pool.regular.find(id).or_else(|| pool.canaries.find(id))?;
            Some((service, candidate))
        })
    }

    /// Returns an endpoint of a service.
    pub fn find(&self, service: &ServiceId, id: &EndpointId) -> Option<&Candidate> {
        let pool = self.services.get(service)?;
        pool.regular.find(id).or_else(|| pool.canaries.find(id))
    }

    /// Returns the endpoints of a service, or those that only accept requests selected for a new
    /// version.
    pub fn get(&self, service: &ServiceId, canaries: bool) -> Option<&CandidatePool> {
        let pool = self.services.get(service)?;
        Some(if canaries { &pool.canaries } else { &pool.regular })
    }

    /// Lists the endpoints of all services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Candidate)> {
        self.services.iter().flat_map(|(service, pool)| {
            let candidates = pool.regular.iter().chain(pool.canaries.iter());
            candidates.map(move |candidate| (service, candidate))
        })
    }

    /// Returns the number of endpoints of all services.
    pub fn len(&self) -> usize {
        self.services.values().map(|pool| pool.regular.len() + pool.canaries.len()).sum()
    }

    /// Returns whether no service has an endpoint.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
