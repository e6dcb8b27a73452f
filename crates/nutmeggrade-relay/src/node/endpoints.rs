//! What an instance learns and tells of endpoints.

use std::collections::BTreeSet;

use nutmeggrade_core::peer::{EndpointUpdateBatch, FleetMessage, FleetOutcomes};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_state::registry::{Change, Registry};
use nutmeggrade_wire::kinds::Kind;

use super::Node;
use crate::tables::lock;

/// Changes that fit into one datagram of some kilobytes, at two hundred bytes each.
const MOST_CHANGES: usize = 32;
/// Names of endpoints that fit into one datagram. A listing after the store lost its history may find
/// some hundreds gone; in one datagram their names are larger than what is read.
const MOST_NAMES: usize = 128;

impl Node {
    /// Returns an endpoint that is registered.
    pub fn endpoint(&self, id: &EndpointId) -> Option<EndpointInfo> {
        lock(&self.tables).registry.get(id).map(|e| e.info.clone())
    }

    /// Changes the registry, and tells everybody here whom it concerns; returns the endpoints that
    /// left.
    pub fn change_registry(
        &self,
        change: impl FnOnce(&mut Registry, Moment) -> Vec<Change>,
    ) -> Vec<EndpointId> {
        let now = self.now();
        let changes = change(&mut lock(&self.tables).registry, now);
        for change in &changes {
            match change {
                Change::Joined(e) => {
                    let version = e.version.as_ref().map_or("-", VersionId::as_str);
                    tracing::info!(event = "endpoint_joined", endpoint = %e.id, service = %e.service,
                        version, domain = %e.domain, cold_ms = e.cold_left.as_millis());
                }
                Change::Missing(e) => {
                    tracing::info!(event = "endpoint_missing", endpoint = %e.id,
                        service = %e.service, domain = %e.domain);
                }
                Change::Left(e, why) => {
                    tracing::info!(event = "endpoint_left", endpoint = %e.id, service = %e.service,
                        domain = %e.domain, why = ?why);
                }
            }
        }
        if !changes.is_empty() {
            self.look_for_orders(&changes);
            self.refresh();
        }
        if !changes.iter().all(|change| matches!(change, Change::Joined(_))) {
            self.departures.send_modify(|n| *n += 1);
        }
        changes.into_iter().filter_map(Change::left).collect()
    }

    /// Has the orders of roll-outs read at once when an endpoint of a new version joins. A watch that has gone
    /// silent would tell of its order after the version got its full part.
    fn look_for_orders(&self, changes: &[Change]) {
        if !self.follows_rollouts() {
            return;
        }
        let is_new = {
            let registry = &lock(&self.tables).registry;
            changes.iter().filter_map(Change::joined).any(|info| registry.is_first_of_version(info))
        };
        if is_new {
            self.follow.track(Kind::Rollouts).recheck.notify_one();
        }
    }

    /// Takes over which failure domains are out.
    pub fn set_out(&self, out: &BTreeSet<DomainId>) {
        let changed = {
            let mut tables = lock(&self.tables);
            let changed = tables.registry.out() != out;
            tables.registry.set_out(out);
            changed
        };
        if changed {
            let names: Vec<&str> = out.iter().map(DomainId::as_str).collect();
            tracing::info!(event = "domains_out", domains = names.join(","));
            self.refresh();
        }
    }

    /// Hands changes of endpoints on to the peers, if this instance reads for all and the changes fit
    /// into a datagram. Peers that don't get them notice by the next heartbeat.
    pub fn hand_on(&self, news: EndpointUpdateBatch) {
        let is_reader = lock(&self.tables).fleet.is_reader(self.now());
        if is_reader && news.changes.len() <= MOST_CHANGES {
            self.tell(FleetMessage::News(news));
        }
    }

    /// Tells all peers that endpoints leave.
    pub fn tell_leaving(&self, endpoints: &[EndpointId]) {
        for part in endpoints.chunks(MOST_NAMES) {
            self.tell(FleetMessage::Leaving(part.to_vec()));
        }
    }

    /// Sends a message to all peers.
    pub fn tell(&self, message: FleetMessage) {
        if self.news.try_send(message).is_err() {
            tracing::warn!(event = "news_not_handed_on");
        }
    }

    /// Takes the word of endpoints that they leave, which comes before the store's.
    pub fn note_leaving(&self, endpoints: &[EndpointId]) {
        self.change_registry(|registry, _| {
            endpoints.iter().filter_map(|id| registry.leave(id)).collect()
        });
    }

    /// Notes that endpoints leave that told or showed it here, and tells the peers.
    pub fn announce_leaving(&self, endpoints: &[EndpointId]) {
        self.note_leaving(endpoints);
        self.tell_leaving(endpoints);
    }

    /// Notes that nobody listens at an endpoint's address any more, and tells the peers.
    ///
    /// An endpoint that died keeps its entry until that lapses, and for as long as the store is away.
    /// All that it had is lost, so to every instance it looks like the emptiest: each sends requests
    /// and copies of generations there. One notices copies that fail one after another (`event=copied`)
    /// while engines with room are left alone. Whoever is told leaves it alone for a moment, and is told
    /// again for as long as nobody listens there.
    pub fn announce_gone(&self, endpoint: &EndpointId) {
        let now = self.now();
        let mut tables = lock(&self.tables);
        let health = tables.dispatcher.book.health_mut(endpoint);
        if health.is_told_gone(now) {
            return;
        }
        health.gone(now);
        drop(tables);
        tracing::info!(event = "endpoint_gone", %endpoint);
        self.tell(FleetMessage::Gone(vec![endpoint.clone()]));
    }

    /// Takes a peer's word that nobody listens at an endpoint's address any more.
    pub fn note_gone(&self, endpoints: &[EndpointId]) {
        let now = self.now();
        self.metrics.told_gone.inc_by(endpoints.len() as u64);
        let mut tables = lock(&self.tables);
        for endpoint in endpoints {
            if tables.registry.get(endpoint).is_some() {
                tables.dispatcher.book.health_mut(endpoint).gone(now);
            }
        }
    }

    /// Takes what a peer counted of endpoints that failed its requests.
    pub fn note_outcomes(&self, outcomes: &FleetOutcomes) {
        let now = self.now();
        let is_near = outcomes.domain == self.seat.domain;
        let mut tables = lock(&self.tables);
        for (endpoint, counted) in &outcomes.answers {
            if tables.registry.get(endpoint).is_some() {
                tables.dispatcher.book.health_mut(endpoint).add_counted(*counted, is_near, now);
            }
        }
    }

    /// Notes what an answer, or its absence, says of an endpoint.
    pub fn note_health(&self, endpoint: &EndpointId, note: impl FnOnce(&mut Health, Moment)) {
        let now = self.now();
        note(lock(&self.tables).dispatcher.book.health_mut(endpoint), now);
        self.counted.notify_one();
    }
}
