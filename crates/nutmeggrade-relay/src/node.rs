//! One instance: its settings, tables, clients and counters.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use nutmeggrade_core::peer::{FleetMessage, FleetNews, Revisions, Seat};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, RouteMap};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{Dispatcher, Health};
use nutmeggrade_state::fleet_view::FleetView;
use nutmeggrade_state::registry::{Change, Registry};
use nutmeggrade_wire::store::Store;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::Clock;
use crate::logs::LogBuffer;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tables::{Tables, lock};
use crate::watch::Follow;

/// Longest wait for an answer of the store that it does not hold back. It answers in milliseconds;
/// a slow one still does within this time.
const STORE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Changes of endpoints that wait to be handed on; the socket takes each in microseconds.
const MOST_NEWS: usize = 16;
/// Changes that fit into one datagram of some kilobytes.
const MOST_CHANGES: usize = 16;
/// Names of endpoints that fit into one datagram. A listing after the store lost its history may find
/// some hundreds gone; in one datagram their names are larger than what is read.
const MOST_NAMES: usize = 128;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Named to no client any more; those that come are still served.
    Leaving,
    /// Takes no new connection.
    Closing,
}

/// One instance, shared by all its tasks.
#[derive(Debug)]
pub struct Node {
    /// The monotonic clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: Metrics,
    /// What it knows and has decided.
    pub tables: Mutex<Tables>,
    /// Client of the platform's store.
    pub store: Store,
    /// How each kind of object is followed.
    pub follow: Follow,
    /// Log lines on their way out.
    pub logs: LogBuffer,
    /// Where this instance is reached.
    pub seat: Seat,
    /// Distinguishes two lives of an instance with the same name.
    pub incarnation: u64,
    /// Wakes whoever tells the peers what is placed.
    pub placed: Notify,
    /// Whoever needs no key shares one place among the workspaces.
    pub anybody: WorkspaceId,
    settings: RwLock<Arc<Settings>>,
    map: RwLock<Arc<RouteMap>>,
    raw_map: RwLock<Bytes>,
    phase: watch::Sender<Phase>,
    departures: watch::Sender<u64>,
    tickets: AtomicU64,
    ends_at: OnceLock<Moment>,
    news: mpsc::Sender<FleetMessage>,
    outgoing: Mutex<Option<mpsc::Receiver<FleetMessage>>>,
}

impl Node {
    /// Makes an instance that knows nothing yet.
    pub fn new(
        settings: &Settings,
        seat: &Seat,
        logs: &LogBuffer,
        incarnation: u64,
    ) -> anyhow::Result<Self> {
        let dispatcher = Dispatcher::new(&settings.domain, rand::random());
        let fleet = FleetView::new(&settings.instance, seat, &settings.seeds);
        let (news, outgoing) = mpsc::channel(MOST_NEWS);
        Ok(Self {
            clock: Clock::new(),
            metrics: Metrics::new()?,
            tables: Mutex::new(Tables::new(dispatcher, fleet)),
            store: Store::new(settings.platform, STORE_PATIENCE),
            follow: Follow::new(),
            logs: logs.clone(),
            seat: seat.clone(),
            incarnation,
            placed: Notify::new(),
            anybody: WorkspaceId::new("-")?,
            settings: RwLock::new(Arc::new(settings.clone())),
            map: RwLock::default(),
            raw_map: RwLock::default(),
            phase: watch::Sender::new(Phase::Serving),
            departures: watch::Sender::new(0),
            tickets: AtomicU64::new(1),
            ends_at: OnceLock::new(),
            news,
            outgoing: Mutex::new(Some(outgoing)),
        })
    }

    /// Returns the time on this instance's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts other settings in force. Addresses stay as they were at the start.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Returns the routing configuration in force; version 0 before the first one came.
    pub fn map(&self) -> Arc<RouteMap> {
        Arc::clone(&self.map.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the routing configuration as the platform wrote it, for peers.
    pub fn raw_map(&self) -> Bytes {
        self.raw_map.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a routing configuration in force unless a newer one is; says whether it did.
    ///
    /// Answers may overtake each other, and an instance must never go back to an older version.
    pub fn set_map(&self, map: RouteMap, raw: Bytes) -> bool {
        let mut current = self.map.write().unwrap_or_else(PoisonError::into_inner);
        if map.version <= current.version {
            return false;
        }
        tracing::info!(
            event = "config",
            old = current.version,
            new = map.version,
            routes = map.len()
        );
        self.metrics.config.set(i64::try_from(map.version).unwrap_or(i64::MAX));
        *self.raw_map.write().unwrap_or_else(PoisonError::into_inner) = raw;
        *current = Arc::new(map);
        drop(current);
        self.refresh();
        true
    }

    /// Says whether requests can be served: a configuration came and endpoints are known.
    pub fn is_ready(&self) -> bool {
        self.map().version > 0 && self.follow.has_endpoints() && self.phase() == Phase::Serving
    }

    /// Returns how far a planned stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Begins a planned stop; the process ends at that moment, whatever is still open.
    pub fn leave(&self, ends_at: Moment) {
        self.ends_at.get_or_init(|| ends_at);
        self.set_phase(Phase::Leaving);
    }

    /// Returns how long this instance stays, if it leaves.
    pub fn stays(&self) -> Option<Duration> {
        self.ends_at.get().map(|end| self.clock.left(*end))
    }

    /// Enters the next phase of a planned stop.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Follows the phases of a planned stop.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Follows departures: the number changes whenever an endpoint leaves.
    pub fn departures(&self) -> watch::Receiver<u64> {
        self.departures.subscribe()
    }

    /// Makes a new ticket.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

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
                    tracing::info!(event = "endpoint_joined", endpoint = %e.id, service = %e.service,
                        domain = %e.domain, cold_ms = e.cold_left.as_millis());
                }
                Change::Left(e, why) => {
                    tracing::info!(event = "endpoint_left", endpoint = %e.id, service = %e.service,
                        domain = %e.domain, why = ?why);
                }
            }
        }
        if !changes.is_empty() {
            self.refresh();
        }
        let left: Vec<EndpointId> = changes.into_iter().filter_map(Change::left).collect();
        if !left.is_empty() {
            self.departures.send_modify(|n| *n += 1);
        }
        left
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
    pub fn hand_on(&self, news: FleetNews) {
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

    /// Notes what an answer, or its absence, says of an endpoint.
    pub fn note_health(&self, endpoint: &EndpointId, note: impl FnOnce(&mut Health, Moment)) {
        let now = self.now();
        note(lock(&self.tables).dispatcher.book.health_mut(endpoint), now);
    }

    /// Takes a further send to a service out of the fleet's budget, if one is left.
    pub fn take_resend(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        let taken = lock(&self.tables).take_resend(service, &settings, self.now());
        if !taken {
            self.metrics.over_budget.inc();
        }
        taken
    }

    /// Takes the receiving end of what is handed on; there is one.
    pub fn outgoing_news(&self) -> Option<mpsc::Receiver<FleetMessage>> {
        lock(&self.outgoing).take()
    }

    /// Works out anew which endpoints may get work, and gives their room to those who wait.
    pub fn refresh(&self) {
        let map = self.map();
        let settings = self.settings();
        let now = self.now();
        let mut tables = lock(&self.tables);
        tables.refresh(&map, &settings, now);
        tables.release(now);
        let usable = tables.registry.usable().count();
        self.metrics.endpoints.set(i64::try_from(usable).unwrap_or(i64::MAX));
    }

    /// Returns what this instance has read of the platform's store.
    pub fn revisions(&self) -> Revisions {
        self.follow.news()
    }
}
