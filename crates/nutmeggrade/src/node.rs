//! One instance: its settings, tables, clients and counters.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nutmeggrade_core::peer::Entry;
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

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Out of the entries, still serving callers that kept the address.
    Leaving,
    /// Takes nothing new; streams finish.
    Draining,
    /// Streams that could not finish are told where to resume.
    Closing,
    /// Callers are gone; operators and probes are the last.
    Stopped,
}

/// One instance, shared by all its workers.
#[derive(Debug)]
pub struct Node<P> {
    /// Checked settings.
    pub settings: Settings,
    /// Name, life and addresses of this instance.
    pub entry: Entry,
    /// The monotonic clock.
    pub clock: Clock,
    /// Shared tables.
    pub tables: Tables,
    /// The platform's object API.
    pub platform: P,
    /// Sockets towards the peers.
    pub peers: Arc<Peers>,
    /// Client of the model engines.
    pub engines: EngineClient,
    /// Counters.
    pub metrics: Metrics,
    /// Key of event ids.
    pub event_key: [u8; 32],
    /// Wakes whoever lets waiting requests go.
    pub queued: Notify,
    /// Wakes the heartbeat at once for news that can't wait.
    pub news: Notify,
    phase: watch::Sender<Phase>,
    tickets: AtomicU64,
}

impl<P: Platform> Node<P> {
    /// Makes an instance that serves nothing yet.
    pub fn new(
        settings: &Settings,
        entry: &Entry,
        platform: P,
        peers: &Arc<Peers>,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            settings: settings.clone(),
            entry: entry.clone(),
            clock: Clock::new(),
            tables: Tables::new(settings, entry, entry.incarnation),
            platform,
            peers: Arc::clone(peers),
            engines: EngineClient::new(settings.connect),
            metrics: Metrics::new()?,
            event_key: settings.peer_key.key("event ids"),
            queued: Notify::new(),
            news: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            tickets: AtomicU64::new(1),
        })
    }

    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Waits before an attempt is repeated; says whether it may be, by budget and deadline.
    pub async fn may_retry(&self, number: u32, deadline: Moment) -> bool {
        let left = deadline.since(self.now());
        let wait = lock(&self.tables.retries).retry(number, left);
        let Some(wait) = wait else { return false };
        self.metrics.retries.inc();
        tokio::time::sleep(wait).await;
        true
    }

    /// Draws a ticket for a new request.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns how far a planned stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves the planned stop on.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Follows the planned stop.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Says whether new work may be taken, and why not.
    pub fn may_work(&self) -> Result<(), Failure> {
        if self.phase() >= Phase::Draining {
            let failure = Failure::new(Code::Leaving, "this instance is leaving");
            return Err(failure.with_retry_after(self.settings.beacon));
        }
        self.is_current()?;
        // An instance that is let in before its first list refuses its first callers with 3001, as
        // if no endpoint were in service.
        if !lock(&self.tables.endpoints).is_known() {
            let failure = Failure::new(Code::NotReady, "no list of endpoints yet");
            return Err(failure.with_retry_after(self.settings.refresh));
        }
        Ok(())
    }

    /// Says whether the configuration in force here can be trusted, and why not.
    fn is_current(&self) -> Result<(), Failure> {
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

    /// Says whether work may be sent to an endpoint now; the last check before its first byte.
    ///
    /// Admission decided some time ago: the request waited, connected, or the process was frozen in
    /// between. What was taken out meanwhile would get work after all; one would notice requests in
    /// the endpoint's log long after the change.
    pub fn may_send(&self, endpoint: &EndpointId) -> Result<(), Failure> {
        self.is_current()?;
        if lock(&self.tables.endpoints).may_send(endpoint) {
            return Ok(());
        }
        let failure = Failure::new(Code::NoEndpoint, "the endpoint was taken out of service");
        Err(failure.with_retry_after(self.settings.beacon))
    }

    /// Returns the key that authenticates questions between peers.
    pub fn peer_key(&self) -> [u8; 32] {
        self.settings.peer_key.key("peer messages")
    }

    /// Learns of an instance and subscribes to its heartbeats.
    pub fn meet(&self, entry: &Entry) {
        let is_new = lock(&self.tables.members).learn(entry);
        if is_new && let Err(error) = self.peers.subscribe(entry) {
            tracing::warn!(event = "subscribe_failed", peer = %entry.instance, %error);
        }
    }

    /// Puts a configuration in force if it is newer; says whether it was.
    pub fn offer_config(&self, config: &Configuration, source: &str) -> bool {
        let taken = {
            let mut table = lock(&self.tables.config);
            let taken = table.offer(config);
            if taken {
                lock(&self.tables.endpoints).set_config(config);
            }
            taken
        };
        lock(&self.tables.changes).note(config);
        if !taken {
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

    /// Tells the scheduler which engines may get new work.
    pub fn sync_engines(&self) {
        let config = lock(&self.tables.config).current();
        let sharers = lock(&self.tables.members).live(self.now()).len() + 1;
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let now = self.now();
        let engines: Vec<Engine> = {
            let table = lock(&self.tables.endpoints);
            let rights = lock(&self.tables.rights);
            let right = |e: &Endpoint| rights.cold_right(&e.id, now);
            let known = |e| engine(e, sharers, right(e), config.as_deref());
            table.usable().filter_map(known).collect()
        };
        lock(&self.tables.scheduler).set_engines(&engines, self.now());
    }
}

fn engine(
    endpoint: &Endpoint,
    sharers: u32,
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
        sharers,
    })
}
