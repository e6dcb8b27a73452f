//! Applies changes of endpoints and reports them to the peers.

use std::collections::BTreeSet;

use nutmeggrade_core::peer::{EndpointUpdateBatch, FleetMessage, FleetOutcomes};
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_state::registry::{Change, Registry};
use nutmeggrade_wire::kinds::Kind;

use super::Node;
use crate::tables::lock;

/// Size of the endpoint changes that are sent in one datagram, in bytes.
const MAX_CHANGE_BYTES: usize = 6 << 10;
/// Changes at a time that are logged one by one. A start finds all endpoints at once.
const MAX_LOGGED_CHANGES: usize = 256;
/// Endpoint names per datagram. A listing after the store lost its history may find some hundreds
/// gone, whose names exceed the largest datagram that is read.
const MAX_NAMES_PER_DATAGRAM: usize = 128;

impl Node {
    /// Changes the registry, logs the changes and refreshes what depends on them; returns the
    /// endpoints that left.
    pub fn change_registry(
        &self,
        change: impl FnOnce(&mut Registry, Moment) -> Vec<Change>,
    ) -> Vec<EndpointId> {
        let now = self.now();
        let changes = change(&mut lock(&self.tables).registry, now);
        log_changes(&changes);
        self.forget_paces(&changes);
        if !changes.is_empty() {
            // Before the successors of endpoints that crashed may get work.
            self.settle_losses();
            self.recheck_rollouts(&changes);
            self.refresh();
        }
        if !changes.iter().all(|change| matches!(change, Change::Joined(_))) {
            self.routing_changes.send_modify(|n| *n += 1);
        }
        changes.into_iter().filter_map(Change::left).collect()
    }

    /// Makes the rollout follower query the store when the first endpoint of a new version joins. A
    /// watch that has gone silent would deliver the rollout only after the version got its full
    /// share of requests.
    fn recheck_rollouts(&self, changes: &[Change]) {
        if !self.follows_rollouts() {
            return;
        }
        let is_new_version = {
            let registry = &lock(&self.tables).registry;
            changes.iter().filter_map(Change::joined).any(|info| registry.is_first_of_version(info))
        };
        if is_new_version {
            self.read_state.of(Kind::Rollouts).recheck.notify_one();
        }
    }

    /// Sets the failure domains that are evacuated.
    pub fn set_evacuated(&self, evacuated: &BTreeSet<DomainId>) {
        let changed = {
            let mut tables = lock(&self.tables);
            let changed = tables.registry.out() != evacuated;
            tables.registry.set_out_domains(evacuated);
            changed
        };
        if changed {
            let names: Vec<&str> = evacuated.iter().map(DomainId::as_str).collect();
            tracing::info!(event = "domains_out", domains = names.join(","));
            self.refresh();
        }
    }

    /// Forwards endpoint changes to the peers if this instance is a reader and the changes fit into
    /// a datagram. Peers that miss them notice by the next heartbeat.
    pub fn forward_changes(&self, batch: &EndpointUpdateBatch) {
        let is_reader = lock(&self.tables).fleet.is_reader(self.now());
        if is_reader && batch.changes.max_bytes() <= MAX_CHANGE_BYTES {
            self.broadcast(FleetMessage::News(batch.clone()));
        }
    }

    /// Sends the names of leaving endpoints to all peers.
    pub fn broadcast_leaving(&self, endpoints: &[EndpointId]) {
        for batch in endpoints.chunks(MAX_NAMES_PER_DATAGRAM) {
            self.broadcast(FleetMessage::Leaving(batch.to_vec()));
        }
    }

    /// Queues a message to all peers.
    pub fn broadcast(&self, message: FleetMessage) {
        if self.outbox.try_send(message).is_err() {
            tracing::warn!(event = "news_not_handed_on");
        }
    }

    /// Marks endpoints as leaving that announced this themselves, before the store reports it;
    /// returns those that were not marked before.
    pub fn note_leaving(&self, endpoints: &[EndpointId]) -> Vec<EndpointId> {
        self.change_registry(|registry, now| {
            endpoints.iter().filter_map(|id| registry.leave(id, now)).collect()
        })
    }

    /// Marks endpoints as leaving, and sends this to the peers.
    pub fn announce_leaving(&self, endpoints: &[EndpointId]) {
        self.note_leaving(endpoints);
        self.broadcast_leaving(endpoints);
    }

    /// Records that an endpoint's address refuses connections, and sends this to the peers.
    ///
    /// The entry of an endpoint that died stays until it expires, and for as long as the store is
    /// unavailable. As it has lost all its work, every instance sees it as the emptiest endpoint
    /// and sends requests and copies of generations there. This shows as consecutive failed copies
    /// (`event=copied`) while engines with room are idle. An instance that receives the message
    /// avoids the endpoint for a moment; the message is repeated for as long as connections are
    /// refused.
    pub fn announce_unreachable(&self, endpoint: &EndpointId) {
        let now = self.now();
        let mut tables = lock(&self.tables);
        let health = tables.dispatcher.load_table.health_mut(endpoint);
        if health.has_recent_gone_notice(now) {
            return;
        }
        health.record_gone_notice(now);
        drop(tables);
        tracing::info!(event = "endpoint_gone", %endpoint);
        self.broadcast(FleetMessage::Gone(vec![endpoint.clone()]));
    }

    /// Records endpoints whose addresses refuse connections according to a peer.
    pub fn note_unreachable(&self, endpoints: &[EndpointId]) {
        let now = self.now();
        self.metrics.unreachable_notices.inc_by(endpoints.len() as u64);
        let mut tables = lock(&self.tables);
        for endpoint in endpoints {
            if tables.registry.get(endpoint).is_some() {
                tables.dispatcher.load_table.health_mut(endpoint).record_gone_notice(now);
            }
        }
    }

    /// Pauses endpoints that have stopped sending to this instance, and sends this to the peers.
    pub fn announce_stalled(&self) {
        let now = self.now();
        let endpoints: Vec<EndpointId> = {
            let mut tables = lock(&self.tables);
            let mut stalled = tables.stalls.stalled(now);
            stalled.retain(|endpoint| {
                let health = tables.dispatcher.load_table.health_mut(endpoint);
                let is_due = !health.has_recent_stall_notice(now);
                if is_due {
                    health.record_stall_notice(now);
                }
                is_due
            });
            stalled.into_iter().collect()
        };
        if endpoints.is_empty() {
            return;
        }
        for endpoint in &endpoints {
            tracing::info!(event = "endpoint_stalled", %endpoint);
        }
        self.metrics.load.stall_notices.with_label_values(&["own"]).inc_by(endpoints.len() as u64);
        for batch in endpoints.chunks(MAX_NAMES_PER_DATAGRAM) {
            self.broadcast(FleetMessage::Stalled(batch.to_vec()));
        }
    }

    /// Pauses endpoints that have stopped sending to a peer.
    pub fn note_stalled(&self, endpoints: &[EndpointId]) {
        let now = self.now();
        self.metrics.load.stall_notices.with_label_values(&["peer"]).inc_by(endpoints.len() as u64);
        let mut tables = lock(&self.tables);
        for endpoint in endpoints {
            if tables.registry.get(endpoint).is_some() {
                tables.dispatcher.load_table.health_mut(endpoint).record_stall_notice(now);
            }
        }
    }

    /// Adds a peer's counts of successes and failures to the endpoints' health.
    pub fn add_peer_outcomes(&self, outcomes: &FleetOutcomes) {
        let now = self.now();
        let is_local = outcomes.domain == self.own_addresses.domain;
        let mut tables = lock(&self.tables);
        for (endpoint, counted) in &outcomes.answers {
            if tables.registry.get(endpoint).is_some() {
                tables
                    .dispatcher
                    .load_table
                    .health_mut(endpoint)
                    .record_counts(*counted, is_local, now);
            }
        }
    }

    /// Updates an endpoint's health after a response or a failure.
    pub fn update_health(&self, endpoint: &EndpointId, update: impl FnOnce(&mut Health, Moment)) {
        let now = self.now();
        update(lock(&self.tables).dispatcher.load_table.health_mut(endpoint), now);
        self.failures_counted.notify_one();
    }
}

fn log_changes(changes: &[Change]) {
    if changes.len() > MAX_LOGGED_CHANGES {
        let joined = changes.iter().filter_map(Change::joined).count();
        tracing::info!(event = "endpoints_changed", joined, left = changes.len() - joined);
        return;
    }
    for change in changes {
        match change {
            Change::Joined(e) => {
                let version = e.version_name();
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
}
