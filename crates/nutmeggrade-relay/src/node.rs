//! One instance: its settings, tables, clients and counters.

mod endpoints;
mod rollouts;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use nutmeggrade_core::peer::{FleetMessage, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteMap;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::Dispatcher;
use nutmeggrade_state::fleet_view::FleetView;
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
    pub seat: InstanceAddresses,
    /// Distinguishes two lives of an instance with the same name.
    pub incarnation: u64,
    /// Wakes whoever tells the peers what is placed.
    pub placed: Notify,
    /// Wakes whoever tells the peers of endpoints that fail.
    pub counted: Notify,
    /// Sends a heartbeat at once, because this instance has read what its neighbours wait for.
    pub announce: Notify,
    /// Endpoints that are being checked; never locked together with the tables.
    pub probed: Mutex<BTreeSet<EndpointId>>,
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
        seat: &InstanceAddresses,
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
            counted: Notify::new(),
            announce: Notify::new(),
            probed: Mutex::default(),
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

    /// Follows departures: the number changes whenever an endpoint leaves or is missing.
    pub fn departures(&self) -> watch::Receiver<u64> {
        self.departures.subscribe()
    }

    /// Makes a new ticket.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
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
