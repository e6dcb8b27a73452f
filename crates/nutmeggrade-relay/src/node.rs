//! State of one instance: settings, tables, the store's client and metrics.

mod crashes;
mod endpoints;
mod notices;
mod paces;
mod rollouts;
mod streams;
mod supply;
mod unreadable;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use nutmeggrade_core::peer::{CrashSuspect, FleetMessage, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteMap;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{Dispatcher, FleetOrder, StartupView};
use nutmeggrade_state::fleet_view::FleetView;
use nutmeggrade_state::transfers::Transfers;
use nutmeggrade_wire::store::Store;
use tokio::sync::{Notify, mpsc, watch};

pub use self::crashes::CrashSource;
pub use self::paces::log_change;
use self::supply::EncodedEndpoints;
use self::unreadable::ReportedObjects;
use crate::clock::Clock;
use crate::config_source::ConfigSource;
use crate::intake::MemoryBudget;
use crate::logs::LogBuffer;
use crate::metrics::Metrics;
use crate::open_requests::OpenRequests;
use crate::reach::ReachChecks;
use crate::settings::Settings;
use crate::tables::{Tables, lock};
use crate::version_records::VersionRecords;
use crate::watch::ReadState;

/// Timeout of a call to the store, beyond the time for which the store holds a watch. The store
/// responds in milliseconds, and within this time when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after a start for which this instance can't tell whether the store had an outage.
const STARTUP_WINDOW: Duration = Duration::from_secs(5);

/// Capacity of the outbox; the socket takes each message in microseconds.
const OUTBOX_CAPACITY: usize = 16;

/// Phases of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves all requests.
    Serving,
    /// Left out of the directory; connections that arrive are still served.
    Leaving,
    /// Accepts no new connections.
    Closing,
    /// Answers the requests that have no response yet, as the process is about to end.
    Ending,
}

/// State of one instance, shared by all its tasks.
#[derive(Debug)]
pub struct Node {
    /// The monotonic clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: Metrics,
    /// State on which decisions depend.
    pub tables: Mutex<Tables>,
    /// Client of the platform's store.
    pub store: Store,
    /// Read state of each kind of object.
    pub read_state: ReadState,
    /// Buffered log lines.
    pub logs: LogBuffer,
    /// Failure domain and addresses of this instance.
    pub own_addresses: InstanceAddresses,
    /// Distinguishes successive runs of an instance with the same name.
    pub incarnation: u64,
    /// Wakes the task that sends changed placements to the peers.
    pub placed: Notify,
    /// Counts calls for leases that ended, for requests that wait for one.
    pub lease_calls: watch::Sender<u64>,
    /// Wakes the task that tells peers of streams that began.
    pub streams_begun: Notify,
    /// Wakes the task that reports failing endpoints to the peers.
    pub failures_counted: Notify,
    /// Triggers an immediate heartbeat, because this instance has read changes that its neighbours
    /// wait for.
    pub heartbeat_due: Notify,
    /// The memory that clients hold together.
    pub memory: Arc<MemoryBudget>,
    /// Requests without a complete response; never locked together with the tables.
    pub open_requests: Arc<OpenRequests>,
    /// Checks whether services can be reached.
    pub reach_checks: ReachChecks,
    /// Records of services' versions in the store.
    pub version_records: VersionRecords,
    /// Endpoints that are being probed; never locked together with the tables.
    pub probed: Mutex<BTreeSet<EndpointId>>,
    /// The last response to a peer that asked for endpoints; locked before the tables.
    encoded_endpoints: Mutex<Option<EncodedEndpoints>>,
    /// The culprits of crashes that were last reported; never locked together with the tables.
    culprits: Mutex<BTreeMap<CrashSuspect, usize>>,
    /// Objects that were reported as unreadable; locked after the tables.
    reported_objects: Mutex<ReportedObjects>,
    /// Transfers to peers in progress.
    pub transfers: Transfers,
    /// Workspace shared by all requests that need no key.
    pub keyless_workspace: WorkspaceId,
    settings: RwLock<Arc<Settings>>,
    map: RwLock<Arc<RouteMap>>,
    config_source: RwLock<Arc<ConfigSource>>,
    phase: watch::Sender<Phase>,
    routing_changes: watch::Sender<u64>,
    tickets: AtomicU64,
    ends_at: OnceLock<Moment>,
    outbox: mpsc::Sender<FleetMessage>,
    outbox_receiver: Mutex<Option<mpsc::Receiver<FleetMessage>>>,
}

impl Node {
    /// Creates the state of an instance that has read nothing.
    pub fn new(
        settings: &Settings,
        own_addresses: &InstanceAddresses,
        logs: &LogBuffer,
        incarnation: u64,
        clock: Clock,
    ) -> anyhow::Result<Self> {
        let mut dispatcher = Dispatcher::new(&settings.domain, rand::random());
        if !settings.fleet_order {
            dispatcher.order = FleetOrder::disabled();
        }
        let fleet = FleetView::new(&settings.instance, own_addresses, &settings.seeds);
        let (outbox, outbox_receiver) = mpsc::channel(OUTBOX_CAPACITY);
        let metrics = Metrics::new()?;
        let memory = MemoryBudget::new(settings.memory, 0, clock, metrics.memory()?);
        Ok(Self {
            clock,
            metrics,
            memory: Arc::new(memory),
            tables: Mutex::new(Tables::new(dispatcher, fleet)),
            store: Store::new(settings.platform, STORE_TIMEOUT),
            read_state: ReadState::new(),
            logs: logs.clone(),
            own_addresses: own_addresses.clone(),
            incarnation,
            placed: Notify::new(),
            lease_calls: watch::Sender::new(0),
            streams_begun: Notify::new(),
            failures_counted: Notify::new(),
            heartbeat_due: Notify::new(),
            open_requests: Arc::default(),
            reach_checks: ReachChecks::default(),
            version_records: VersionRecords::default(),
            probed: Mutex::default(),
            encoded_endpoints: Mutex::default(),
            culprits: Mutex::default(),
            reported_objects: Mutex::default(),
            transfers: Transfers::new(settings.link),
            keyless_workspace: WorkspaceId::new("-")?,
            settings: RwLock::new(Arc::new(settings.clone())),
            map: RwLock::default(),
            config_source: RwLock::default(),
            phase: watch::Sender::new(Phase::Serving),
            routing_changes: watch::Sender::new(0),
            tickets: AtomicU64::new(1),
            ends_at: OnceLock::new(),
            outbox,
            outbox_receiver: Mutex::new(Some(outbox_receiver)),
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the settings in force. Addresses stay as they were at the start.
    pub fn set_settings(&self, settings: Settings) {
        self.memory.set_limits(settings.memory, self.map().limits.body_bytes);
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Returns the routing configuration in force, which has version 0 until the first one is read.
    pub fn map(&self) -> Arc<RouteMap> {
        Arc::clone(&self.map.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the text of the routing configuration in force, for peers.
    pub fn config_source(&self) -> Arc<ConfigSource> {
        Arc::clone(&self.config_source.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a routing configuration unless its version is older or the same; returns whether it
    /// did.
    ///
    /// Responses may arrive out of order, and an instance must never go back to an older version.
    pub fn set_map(&self, map: RouteMap, source: ConfigSource) -> bool {
        let mut current = self.map.write().unwrap_or_else(PoisonError::into_inner);
        if map.version <= current.version {
            return false;
        }
        tracing::info!(
            event = "config",
            old = current.version,
            new = map.version,
            routes = map.len(),
            bytes = source.text().len(),
            supplier = source.supplier(),
            revision = source.revision()
        );
        self.metrics.config.set(i64::try_from(map.version).unwrap_or(i64::MAX));
        self.memory.set_limits(self.settings().memory, map.limits.body_bytes);
        *self.config_source.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(source);
        *current = Arc::new(map);
        drop(current);
        self.refresh();
        true
    }

    /// Returns whether requests can be served: a configuration and the endpoints were read, and no
    /// stop has begun.
    pub fn is_ready(&self) -> bool {
        self.is_loaded() && self.phase() == Phase::Serving
    }

    /// Returns whether a configuration and the endpoints were read.
    pub fn is_loaded(&self) -> bool {
        self.map().version > 0 && self.read_state.has_endpoints()
    }

    /// Returns what this instance knows of the others while it starts.
    pub fn startup_view(&self) -> StartupView {
        let (live_peers, serving_peers) = lock(&self.tables).fleet.serving_counts(self.now());
        let is_store_unavailable = !self.read_state.is_available();
        StartupView { live_peers, serving_peers, is_store_unavailable }
    }

    /// Returns the current phase of a graceful stop.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Begins a graceful stop; the process ends at `ends_at` even if requests are still open.
    pub fn leave(&self, ends_at: Moment) {
        self.ends_at.get_or_init(|| ends_at);
        self.set_phase(Phase::Leaving);
    }

    /// Returns the time until the process ends, if it is stopping.
    pub fn time_until_end(&self) -> Option<Duration> {
        self.ends_at.get().map(|end| self.clock.left(*end))
    }

    /// Enters a phase of a graceful stop.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Subscribes to the phases of a graceful stop.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Subscribes to a counter that changes whenever streams may have to move: an endpoint leaves
    /// or goes missing, or a rollout changes its phase.
    pub fn routing_changes(&self) -> watch::Receiver<u64> {
        self.routing_changes.subscribe()
    }

    /// Creates a unique ticket.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Takes one resend to a service from the fleet's budget; returns whether the budget allows it.
    pub fn take_resend(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        let taken = lock(&self.tables).take_resend(service, &settings, self.now());
        if !taken {
            self.metrics.over_budget.inc();
        }
        taken
    }

    /// Returns whether the fleet's budget allows a resend to a service.
    pub fn allows_resend(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        lock(&self.tables).allows_resend(service, &settings, self.now())
    }

    /// Returns whether this instance can't connect to any endpoint of a service.
    pub fn is_cut_off(&self, service: &ServiceId) -> bool {
        lock(&self.tables).reach.is_cut_off(service)
    }

    /// Takes the receiver of the outbox; later calls return `None`.
    pub fn take_outbox(&self) -> Option<mpsc::Receiver<FleetMessage>> {
        lock(&self.outbox_receiver).take()
    }

    /// Recomputes which endpoints may get work, and assigns free slots to waiting requests.
    pub fn refresh(&self) {
        let map = self.map();
        let settings = self.settings();
        let now = self.now();
        let mut tables = lock(&self.tables);
        let refreshed = tables.refresh(&map, &settings, now);
        tables.release(now);
        self.metrics.refreshed_endpoints.inc_by(refreshed as u64);
        self.metrics.compared_endpoints.inc_by(tables.dispatcher.take_compared());
        let usable = tables.dispatcher.candidate_count();
        self.metrics.endpoints.set(i64::try_from(usable).unwrap_or(i64::MAX));
        let limited = tables.rate_shares.len();
        self.metrics.limited_endpoints.set(i64::try_from(limited).unwrap_or(i64::MAX));
    }

    /// Returns whether endpoints that this instance lacks may only have expired during an outage of
    /// the store. A listing just after the start may have missed expired entries.
    pub fn may_have_expired(&self) -> bool {
        let now = self.now();
        now.since_start() < STARTUP_WINDOW || self.read_state.may_have_expired(now)
    }

    /// Returns the revisions that this instance has read from the store.
    pub fn revisions(&self) -> Revisions {
        self.read_state.change_revisions()
    }
}
