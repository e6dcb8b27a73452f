//! The decision about each request.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::line_key::LineKey;
use super::{Candidate, LoadBook, Need, Placed, failing_penalty, fits, score};
use crate::queue::Lane;
use crate::wait::WaitEstimate;
use crate::{Spread, Ticket};

/// Most that chance adds to an endpoint's score. Instances that see the same load then don't all
/// choose the same endpoint between two heartbeats.
const CHANCE: f64 = 0.04;
/// How much another failure domain counts, as a part of an endpoint's capacity: bytes between
/// domains cost more and take a millisecond longer, which must not outweigh real load.
const FAR: f64 = 0.15;
/// How much another failure domain counts for a copy, which takes twice as long between domains
/// while the engine that it comes from is about to go.
const FAR_COPY: f64 = 0.35;
/// Time after which the refused come back while the queue's own pace is not known.
const RETURN: Duration = Duration::from_millis(400);
/// Longest time that the refused are told; a client with less time left would not come back.
const LONGEST_RETURN: Duration = Duration::from_secs(3);

/// What is decided about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// Send it to this endpoint.
    Go(EndpointId),
    /// It waits; a later [`Dispatcher::release`] decides.
    Wait,
    /// No endpoint could run it, or none soon enough; when to come back.
    Refuse(Duration),
}

/// Decides where requests go, in which order those that find no room get it, and who is turned away.
///
/// Answers more load than the endpoints bear. Without it requests queue at the endpoints, where the
/// urgent are behind the others, the largest workspace holds every place and memory runs out in the
/// middle of answers. Here the urgent go first; among equals whoever got least so far is next.
#[derive(Debug)]
pub struct Dispatcher {
    /// Who has how much where.
    pub book: LoadBook,
    domain: DomainId,
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
    lanes: BTreeMap<LineKey, Lane<Need>>,
    waits: BTreeMap<LineKey, WaitEstimate>,
    spread: Spread,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Makes a dispatcher of an instance in `domain` that knows no endpoint yet.
    pub fn new(domain: &DomainId, seed: u64) -> Self {
        Self {
            book: LoadBook::new(),
            domain: domain.clone(),
            candidates: BTreeMap::new(),
            lanes: BTreeMap::new(),
            waits: BTreeMap::new(),
            spread: Spread::new(seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the endpoints of all services.
    pub fn set_candidates(&mut self, candidates: BTreeMap<ServiceId, Vec<Candidate>>) {
        self.candidates = candidates;
    }

    /// Decides about a new request. `patience` is the longest that it may wait.
    pub fn offer(&mut self, need: &Need, patience: Duration, now: Moment) -> Offer {
        if !self.is_behind_others(need)
            && let Some(endpoint) = self.choose(need, now)
        {
            self.place(need, &endpoint);
            return Offer::Go(endpoint);
        }
        if !self.can_ever_run(need) {
            return Offer::Refuse(self.spread.draw(RETURN));
        }
        let key = LineKey::fresh(&need.service, need.priority);
        let set_back = LineKey::late(&need.service, need.priority);
        let behind = self.lanes.get(&set_back).map_or(0, Lane::len);
        let lane = self.lanes.entry(key.clone()).or_default();
        let ahead = lane.ahead(&need.workspace) + behind + 1;
        let estimate = self.waits.get(&key).and_then(|w| w.wait(ahead));
        if let Some(wait) = estimate
            && wait > patience
        {
            return Offer::Refuse(self.spread.draw(wait.min(LONGEST_RETURN) / 2));
        }
        lane.push(need);
        Offer::Wait
    }

    /// Gives room that has become free to those who wait, the most urgent first.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, EndpointId)> {
        let mut released = Vec::new();
        self.set_back(now);
        let keys: Vec<LineKey> = self.lanes.keys().cloned().collect();
        for key in keys {
            let mut count = 0;
            while let Some((need, endpoint)) = self.next(&key, now) {
                self.place(&need, &endpoint);
                if let Some(lane) = self.lanes.get_mut(&key) {
                    lane.take(need.ticket, need.memory.max(1) as f64);
                }
                released.push((need.ticket, endpoint));
                count += 1;
            }
            let is_idle = self.lanes.get(&key).is_none_or(Lane::is_empty);
            let wait = self.waits.entry(key).or_default();
            wait.released(count, now);
            if is_idle {
                wait.idle(now);
            }
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
        released
    }

    /// Takes a request out that gave up waiting; returns when it may come back.
    pub fn give_up(&mut self, need: &Need) -> Duration {
        let key = LineKey::fresh(&need.service, need.priority);
        for key in [&key, &LineKey::late(&need.service, need.priority)] {
            if let Some(lane) = self.lanes.get_mut(key) {
                lane.remove(need.ticket);
            }
        }
        let ahead = self.lanes.get(&key).map_or(0, |lane| lane.ahead(&need.workspace));
        let wait = self.waits.get(&key).and_then(|w| w.wait(ahead));
        self.spread.draw(wait.map_or(RETURN, |w| w.min(LONGEST_RETURN) / 2))
    }

    /// Chooses an endpoint for what is already running elsewhere and goes on there, past the queue.
    pub fn choose_move(&mut self, need: &Need, now: Moment) -> Option<EndpointId> {
        self.choose(need, now)
    }

    /// Draws when somebody that can't be served at all may come back.
    pub fn return_time(&mut self) -> Duration {
        self.spread.draw(RETURN)
    }

    /// Counts those who wait.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Notes that a request goes to an endpoint.
    pub fn place(&mut self, need: &Need, endpoint: &EndpointId) {
        let placed = Placed { requests: 1, memory: need.memory, reading: need.prompt, moving: 0 };
        self.book.place(need.ticket, endpoint, placed);
        let all = self.candidates.get_mut(&need.service).into_iter().flatten();
        for candidate in all.filter(|c| c.id == *endpoint) {
            candidate.cold_left = candidate.cold_left.map(|left| left.saturating_sub(1));
        }
    }

    /// Says whether others of the same or a higher rank wait for the same service.
    fn is_behind_others(&self, need: &Need) -> bool {
        let first = LineKey::fresh(&need.service, 0);
        let last = LineKey::fresh(&need.service, need.priority);
        self.lanes.range(first..=last).any(|(_, lane)| !lane.is_empty())
    }

    /// Sets back those that waited too long for an answer in time.
    fn set_back(&mut self, now: Moment) {
        let mut late = Vec::new();
        for (key, lane) in self.lanes.iter_mut().filter(|(key, _)| !key.is_late) {
            for ticket in lane.expired(|need| need.fresh_until <= now) {
                late.extend(lane.remove(ticket).map(|need| (key.priority, need)));
            }
        }
        for (priority, need) in late {
            self.lanes.entry(LineKey::late(&need.service, priority)).or_default().push(&need);
        }
    }

    /// Says whether an endpoint that is there could run the request if it had nothing else.
    fn can_ever_run(&self, need: &Need) -> bool {
        let all = self.candidates.get(&need.service);
        let fits = |c: &Candidate| !c.is_canary && c.memory.is_none_or(|m| need.memory <= m);
        all.is_some_and(|a| a.iter().any(fits))
    }

    fn next(&mut self, key: &LineKey, now: Moment) -> Option<(Need, EndpointId)> {
        let heads: Vec<Need> = self.lanes.get(key)?.heads().cloned().collect();
        heads.into_iter().find_map(|need| {
            let endpoint = self.choose(&need, now)?;
            Some((need, endpoint))
        })
    }

    /// Chooses among the endpoints of a new version if the request is drawn for it, and else, or if none of
    /// them has room, among all others.
    fn choose(&mut self, need: &Need, now: Moment) -> Option<EndpointId> {
        let canary = if need.is_canary { self.best(need, true, now) } else { None };
        canary.or_else(|| self.best(need, false, now))
    }

    fn best(&mut self, need: &Need, is_canary: bool, now: Moment) -> Option<EndpointId> {
        let candidates = self.candidates.get(&need.service)?;
        let rested = |c: &&Candidate| !self.book.health(&c.id).is_some_and(|h| h.is_paused(now));
        let is_open = |c: &&Candidate| c.is_canary == is_canary && !need.avoid.contains(&c.id);
        let open: Vec<&Candidate> = candidates.iter().filter(is_open).collect();
        let usable: Vec<&Candidate> = open.iter().copied().filter(rested).collect();
        // With nothing else left a paused endpoint is better than none.
        let usable = if usable.is_empty() { open } else { usable };
        let failing = |c: &Candidate| self.book.health(&c.id).map_or(0.0, |h| h.failing(now));
        // What fails everywhere is no endpoint's fault.
        let usual = usable.iter().map(|c| failing(c)).fold(1.0, f64::min);
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in usable {
            let placed = self.book.at(&candidate.id);
            if !fits(candidate, &placed, need) {
                continue;
            }
            let trouble = self.book.health(&candidate.id).map_or(0.0, |h| h.trouble(now));
            let chance = self.rng.random_range(0.0..CHANCE);
            let distance = match &need.from {
                Some(from) if *from != candidate.domain => FAR_COPY,
                None if self.domain != candidate.domain => FAR,
                _ => 0.0,
            };
            let worse = failing_penalty(failing(candidate) - usual);
            let found = score(candidate, &placed, trouble) + worse + distance + chance;
            if best.is_none_or(|(least, _)| found < least) {
                best = Some((found, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.id.clone())
    }
}
