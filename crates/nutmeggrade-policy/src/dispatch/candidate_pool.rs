//! Endpoints of one service that may get new work, and which of them are compared for a request.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use rand::seq::index;
use rand_chacha::ChaCha8Rng;

use super::Candidate;

/// Number of endpoints up to which all are compared.
const MAX_COMPARED: usize = 128;
/// Number of endpoints in the preferred failure domain that are compared in a larger pool.
const NEAR_SAMPLE: usize = 48;
/// Number of endpoints in other failure domains that are compared in a larger pool.
const FAR_SAMPLE: usize = 16;
/// Number of endpoints that are compared if none of the first sample has room.
const WIDE_SAMPLE: usize = 128;

/// Endpoints of one service that may get new work.
///
/// Comparing all of them for each request takes time that grows with the fleet: with 9,000 engines
/// it was some milliseconds of processor time, a large part of what an instance with an eighth of a
/// core has. The best of a random sample is almost as good, since the chance that a sample holds no
/// emptier endpoint depends on the share of such endpoints and not on their number.
#[derive(Debug, Clone, Default)]
pub struct CandidatePool {
    domains: BTreeMap<DomainId, Vec<Candidate>>,
    positions: BTreeMap<EndpointId, (DomainId, usize)>,
}

impl CandidatePool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an endpoint, or replaces its entry.
    pub fn put(&mut self, candidate: Candidate) {
        if let Some(entry) = self.get_mut(&candidate.id)
            && entry.domain == candidate.domain
        {
            *entry = candidate;
            return;
        }
        self.remove(&candidate.id);
        let of_domain = self.domains.entry(candidate.domain.clone()).or_default();
        let position = (candidate.domain.clone(), of_domain.len());
        self.positions.insert(candidate.id.clone(), position);
        of_domain.push(candidate);
    }

    /// Removes an endpoint; returns whether it was there.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        let Some((domain, position)) = self.positions.remove(id) else { return false };
        let Some(of_domain) = self.domains.get_mut(&domain) else { return false };
        of_domain.swap_remove(position);
        if let Some(moved) = of_domain.get(position) {
            self.positions.insert(moved.id.clone(), (domain, position));
        } else if of_domain.is_empty() {
            self.domains.remove(&domain);
        }
        true
    }

    /// Returns an endpoint for update.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Candidate> {
        let (domain, position) = self.positions.get(id)?;
        self.domains.get_mut(domain)?.get_mut(*position)
    }

    /// Returns an endpoint.
    pub fn find(&self, id: &EndpointId) -> Option<&Candidate> {
        let (domain, position) = self.positions.get(id)?;
        self.domains.get(domain)?.get(*position)
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Lists all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.domains.values().flatten()
    }

    /// Returns the endpoints to compare for a request that is best served in the failure domain
    /// `near`: all of a small pool, else a random sample.
    pub fn sample(&self, near: &DomainId, rng: &mut ChaCha8Rng) -> Vec<&Candidate> {
        if self.len() <= MAX_COMPARED {
            return self.iter().collect();
        }
        let (near, far): (Vec<_>, Vec<_>) = self.domains.iter().partition(|(d, _)| *d == near);
        let mut sample = draw(&slices(&near), NEAR_SAMPLE, rng);
        let missing = NEAR_SAMPLE - sample.len();
        sample.extend(draw(&slices(&far), FAR_SAMPLE + missing, rng));
        sample
    }

    /// Returns the endpoints to compare for a request that only one version may run: all of these, or
    /// a random sample of many.
    pub fn sample_version(&self, version: &VersionId, rng: &mut ChaCha8Rng) -> Vec<&Candidate> {
        let has_version = |c: &&Candidate| c.version.as_ref() == Some(version);
        let all: Vec<&Candidate> = self.iter().filter(has_version).collect();
        let chosen = index::sample(rng, all.len(), all.len().min(MAX_COMPARED));
        chosen.into_iter().map(|i| all[i]).collect()
    }

    /// Returns endpoints that stand for all of them: all of a small pool, else a random sample.
    pub fn typical(&self, rng: &mut ChaCha8Rng) -> Vec<&Candidate> {
        if self.len() <= MAX_COMPARED { self.iter().collect() } else { self.wide_sample(rng) }
    }

    /// Returns the endpoints to compare after none of the first sample had room; none in a pool
    /// that was compared completely.
    pub fn wide_sample(&self, rng: &mut ChaCha8Rng) -> Vec<&Candidate> {
        if self.len() <= MAX_COMPARED {
            return Vec::new();
        }
        draw(&slices(&self.domains.iter().collect::<Vec<_>>()), WIDE_SAMPLE, rng)
    }
}

fn slices<'a>(domains: &[(&DomainId, &'a Vec<Candidate>)]) -> Vec<&'a [Candidate]> {
    domains.iter().map(|(_, all)| all.as_slice()).collect()
}

/// Draws up to `count` different endpoints.
fn draw<'a>(domains: &[&'a [Candidate]], count: usize, rng: &mut ChaCha8Rng) -> Vec<&'a Candidate> {
    let total = domains.iter().map(|all| all.len()).sum::<usize>();
    index::sample(rng, total, count.min(total))
        .into_iter()
        .filter_map(|i| nth(domains, i))
        .collect()
}

/// Returns the endpoint with an index into all failure domains, one after the other.
fn nth<'a>(domains: &[&'a [Candidate]], index: usize) -> Option<&'a Candidate> {
    let mut left = index;
    for all in domains {
        match all.get(left) {
            Some(candidate) => return Some(candidate),
            None => left -= all.len(),
        }
    }
    None
}
