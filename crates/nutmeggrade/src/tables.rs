//! The tables that all workers share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use nutmeggrade_core::peer::Entry;
use nutmeggrade_policy::{Scheduler, ServicePicker, Ticket, Verdict};
use nutmeggrade_state::config_table::ConfigTable;
use nutmeggrade_state::endpoint_table::EndpointTable;
use nutmeggrade_state::fence::Fence;
use nutmeggrade_state::membership::Membership;
use nutmeggrade_state::orphans::Orphans;
use nutmeggrade_state::own_intents::OwnIntents;
use nutmeggrade_state::suspects::Suspects;
use tokio::sync::oneshot;

use crate::settings::Settings;

/// Requests that wait for the scheduler, each with where its verdict goes.
pub type Waiters = BTreeMap<Ticket, oneshot::Sender<Verdict>>;

/// The shared tables; locks are taken in the order of the fields.
#[derive(Debug)]
pub struct Tables {
    /// Configuration in force.
    pub config: Mutex<ConfigTable>,
    /// Instances of the system.
    pub members: Mutex<Membership>,
    /// Endpoints.
    pub endpoints: Mutex<EndpointTable>,
    /// Admission and routing of generations.
    pub scheduler: Mutex<Scheduler>,
    /// Routing of service calls.
    pub picker: Mutex<ServicePicker>,
    /// Whether new work may be taken.
    pub fence: Mutex<Fence>,
    /// Requests that wait.
    pub waiters: Mutex<Waiters>,
    /// Non-idempotent calls whose records are not settled.
    pub intents: Mutex<OwnIntents>,
    /// Requests that may crash engines.
    pub suspects: Mutex<Suspects>,
    /// Generations whose callers left.
    pub orphans: Mutex<Orphans>,
}

impl Tables {
    /// Makes empty tables.
    pub fn new(settings: &Settings, own: &Entry, seed: u64) -> Self {
        Self {
            config: Mutex::new(ConfigTable::new()),
            members: Mutex::new(Membership::new(own, settings.silence)),
            endpoints: Mutex::new(EndpointTable::new()),
            scheduler: Mutex::new(Scheduler::new(seed)),
            picker: Mutex::new(ServicePicker::new()),
            fence: Mutex::new(Fence::new(settings.fence)),
            waiters: Mutex::new(Waiters::new()),
            intents: Mutex::new(OwnIntents::new()),
            suspects: Mutex::new(Suspects::new(&own.instance, settings.beacon)),
            orphans: Mutex::new(Orphans::new()),
        }
    }
}

/// Takes a lock. A worker that panicked left the table between two whole events, since tables
/// change through methods that don't panic halfway; going on is safer than stopping all workers.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
