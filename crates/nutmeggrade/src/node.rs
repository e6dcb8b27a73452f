//! State of one instance: settings, tables, clients and metrics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{Engine, Ticket};
use tokio::sync::{Notify, watch};

use crate::engine_client::EngineClient;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::tables::{Tables, lock};
use nutmeggrade_relay::Clock;
use nutmeggrade_relay::intake::MemoryBudget;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// In normal service.
    Serving,
    /// No longer listed as an entry; still serves callers that have its address.
    Leaving,
    /// Refuses new work; open streams finish.
    Draining,
    /// Ends the remaining streams and refers their callers to other entries.
    Closing,
    /// All callers are disconnected; operators and probes are disconnected last.
    Stopped,
}

/// State of one instance, shared by all its workers.
#[derive(Debug)]
pub struct Node<P> {
    /// Validated settings.
    pub settings: Settings,
    /// Name, incarnation and addresses of this instance.
    pub entry: InstanceEntry,
    /// The monotonic clock.
    pub clock: Clock,
    /// Shared tables.
    pub tables: Tables,
    /// The platform's object API.
    pub platform: P,
    /// Sockets for the peers' heartbeats.
    pub peers: Arc<Peers>,
    /// Client of the model engines.
    pub engines: EngineClient,
    /// The memory that clients hold together.
    pub memory: Arc<MemoryBudget>,
    /// Exposed metrics.
    pub metrics: Metrics,
    /// Key that authenticates event ids.
    pub event_key: [u8; 32],
    /// Wakes the release task when a request is queued.
    pub queue_wakeup: Notify,
    /// Triggers a heartbeat before its interval has passed, to spread urgent changes.
    pub heartbeat_wakeup: Notify,
    phase: watch::Sender<Phase>,
    ends_at: OnceLock<Moment>,
    next_ticket: AtomicU64,
}

impl<P: Platform> Node<P> {
    /// Creates an instance that doesn't serve yet.
    pub fn new(
        settings: &Settings,
        entry: &InstanceEntry,
        platform: P,
        peers: &Arc<Peers>,
    ) -> anyhow::Result<Self> {
        let (clock, metrics) = (Clock::new(), Metrics::new()?);
        let memory =
            MemoryBudget::new(settings.memory, settings.max_body(), clock, metrics.memory()?);
        Ok(Self {
            settings: settings.clone(),
            entry: entry.clone(),
            clock,
            memory: Arc::new(memory),
            tables: Tables::new(settings, entry, entry.incarnation),
            platform,
            peers: Arc::clone(peers),
            engines: EngineClient::new(settings.connect),
            metrics,
            event_key: settings.peer_key.key("event ids"),
            queue_wakeup: Notify::new(),
            heartbeat_wakeup: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            ends_at: OnceLock::new(),
            next_ticket: AtomicU64::new(1),
        })
    }

    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Waits for the delay before a retry; returns false if the budget or the deadline forbids it.
    pub async fn wait_for_retry(&self, number: u32, deadline: Moment) -> bool {
        let remaining = deadline.since(self.now());
        let delay = lock(&self.tables.retries).retry(number, remaining);
        let Some(delay) = delay else { return false };
        self.metrics.retries.inc();
        tokio::time::sleep(delay).await;
        true
    }

    /// Returns a ticket for a new request.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the phase of the planned stop.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase of the planned stop.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns a receiver of changes of the phase.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Begins a planned stop, at the end of which open calls are cut.
    pub fn leave(&self, ends_at: Moment) {
        self.ends_at.get_or_init(|| ends_at);
        self.set_phase(Phase::Leaving);
    }

    /// Returns an error if a call with this deadline may outlast a planned stop.
    pub fn check_end(&self, deadline: Moment) -> Result<(), Failure> {
        let Some(ends_at) = self.ends_at.get().filter(|ends_at| deadline > **ends_at) else {
            return Ok(());
        };
        let left = ends_at.since(self.now()).as_millis();
        let failure = Failure::new(Code::Leaving, &format!("this instance ends in {left} ms"));
        Err(failure.with_retry_after(self.settings.beacon))
    }

    /// Returns an error with the reason if new work must be refused.
    pub fn check_ready(&self) -> Result<(), Failure> {
        if self.phase() >= Phase::Draining {
            let failure = Failure::new(Code::Leaving, "this instance is leaving");
            return Err(failure.with_retry_after(self.settings.beacon));
        }
        self.check_config()?;
        // An instance that was ready before its first list of endpoints would refuse its first
        // callers with 3001, as if no endpoint were in service.
        if !lock(&self.tables.endpoints).is_known() {
            let failure = Failure::new(Code::NotReady, "no list of endpoints yet");
            return Err(failure.with_retry_after(self.settings.refresh));
        }
        Ok(())
    }

    /// Returns an error with the reason if the configuration in force may be outdated.
    fn check_config(&self) -> Result<(), Failure> {
        let (version, wanted) = {
            let config = lock(&self.tables.config);
            (config.version(), config.wanted())
        };
        if version == 0 {
            let failure = Failure::new(Code::NotReady, "no configuration yet");
            return Err(failure.with_retry_after(self.settings.fence));
        }
        if !lock(&self.tables.fence).is_closed(self.now()) {
            return Ok(());
        }
        let detail = match wanted {
            Some(_) => "peers have a newer configuration that can't be had",
            None => "cut off from the platform and most peers",
        };
        Err(Failure::new(Code::Fenced, detail).with_retry_after(self.settings.fence))
    }

    /// Checks whether work may be sent to an endpoint, immediately before the first byte.
    ///
    /// Since its admission the request may have waited or connected, or the process may have been
    /// suspended. Without this check an endpoint that was taken out of service meanwhile would
    /// still get requests, which show in its log long after the change.
    pub fn may_send(&self, endpoint: &EndpointId) -> Result<(), Failure> {
        self.check_config()?;
        if lock(&self.tables.endpoints).may_send(endpoint) {
            return Ok(());
        }
        let failure = Failure::new(Code::NoEndpoint, "the endpoint was taken out of service");
        Err(failure.with_retry_after(self.settings.beacon))
    }

    /// Returns the key that authenticates messages between peers.
    pub fn peer_key(&self) -> [u8; 32] {
        self.settings.peer_key.key("peer messages")
    }

    /// Adds an instance to the members and subscribes to its heartbeats.
    pub fn add_peer(&self, entry: &InstanceEntry) {
        let is_new = lock(&self.tables.members).add_instance(entry);
        if is_new && let Err(error) = self.peers.subscribe(entry) {
            tracing::warn!(event = "subscribe_failed", peer = %entry.instance, %error);
        }
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it was.
    pub fn apply_config(&self, config: &Configuration, source: &str) -> bool {
        let applied = {
            let mut table = lock(&self.tables.config);
            let applied = table.offer(config);
            if applied {
                lock(&self.tables.endpoints).set_config(config);
            }
            applied
        };
        lock(&self.tables.changes).note(config);
        if !applied {
            return false;
        }
        self.metrics.config.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        if let Some(preset) = config.preset() {
            lock(&self.tables.scheduler).set_preset(preset);
        }
        self.sync_engines();
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            change = %config.id,
            who = config.who,
            preset = %config.active,
            source
        );
        true
    }

    /// Updates the scheduler's list of engines that may get new work.
    pub fn sync_engines(&self) {
        let config = lock(&self.tables.config).current();
        let instance_count = lock(&self.tables.members).live(self.now()).len() + 1;
        let instance_count = u32::try_from(instance_count).unwrap_or(u32::MAX);
        let now = self.now();
        let engines: Vec<Engine> = {
            let table = lock(&self.tables.endpoints);
            let rights = lock(&self.tables.rights);
            let cold_right = |e: &Endpoint| rights.cold_right(&e.id, now);
            let to_engine = |e| engine(e, instance_count, cold_right(e), config.as_deref());
            table.usable().filter_map(to_engine).collect()
        };
        lock(&self.tables.scheduler).set_engines(&engines, self.now());
    }
}

fn engine(
    endpoint: &Endpoint,
    instance_count: u32,
    cold_right: u32,
    config: Option<&Configuration>,
) -> Option<Engine> {
    let EndpointKind::Engine { models, memory } = &endpoint.kind else { return None };
    let mut models = models.clone();
    if let Some(preset) = config.and_then(Configuration::preset) {
        models.retain(|m| preset.allows_engine(m, &endpoint.id));
    }
    Some(Engine {
        id: endpoint.id.clone(),
        domain: endpoint.domain.clone(),
        models,
        memory: *memory,
        cold_right,
        instance_count,
    })
}
