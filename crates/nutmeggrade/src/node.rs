//! One instance: its settings, tables, clients and counters.

use std::sync::atomic::{AtomicU64, Ordering};

use nutmeggrade_core::peer::Entry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{Engine, Ticket};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::engine_client::EngineClient;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tables::{Tables, lock};

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
    /// Client of the model engines.
    pub engines: EngineClient,
    /// Counters.
    pub metrics: Metrics,
    /// Key of event ids.
    pub event_key: [u8; 32],
    /// Wakes the heartbeat at once for news that can't wait.
    pub news: Notify,
    phase: watch::Sender<Phase>,
    tickets: AtomicU64,
}

impl<P: Platform> Node<P> {
    /// Makes an instance that serves nothing yet.
    pub fn new(settings: &Settings, entry: &Entry, platform: P) -> anyhow::Result<Self> {
        Ok(Self {
            settings: settings.clone(),
            entry: entry.clone(),
            clock: Clock::new(),
            tables: Tables::new(settings, entry, entry.incarnation),
            platform,
            engines: EngineClient::new(settings.connect),
            metrics: Metrics::new()?,
            event_key: settings.peer_key.key("event ids"),
            news: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            tickets: AtomicU64::new(1),
        })
    }

    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
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
        if lock(&self.tables.config).version() == 0 {
            let failure = Failure::new(Code::NotReady, "no configuration yet");
            return Err(failure.with_retry_after(self.settings.fence));
        }
        if lock(&self.tables.fence).is_closed(self.now()) {
            let failure = Failure::new(Code::Fenced, "cut off from the platform and all peers");
            return Err(failure.with_retry_after(self.settings.fence));
        }
        Ok(())
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
        let sharers = lock(&self.tables.members).live(self.now()).len() + 1;
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let engines: Vec<Engine> = {
            let table = lock(&self.tables.endpoints);
            table.usable().filter_map(|e| engine(e, sharers)).collect()
        };
        lock(&self.tables.scheduler).set_engines(&engines, self.now());
    }
}

fn engine(endpoint: &Endpoint, sharers: u32) -> Option<Engine> {
    let EndpointKind::Engine { models, memory } = &endpoint.kind else { return None };
    Some(Engine {
        id: endpoint.id.clone(),
        domain: endpoint.domain.clone(),
        models: models.clone(),
        memory: *memory,
        cold_right: 0,
        sharers,
    })
}
