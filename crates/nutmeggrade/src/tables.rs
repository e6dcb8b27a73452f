//! The tables that all workers share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use nutmeggrade_core::peer::Entry;
use nutmeggrade_policy::{RetryBudget, Scheduler, ServicePicker, Ticket, Verdict};
use nutmeggrade_state::audit_log::AuditLog;
use nutmeggrade_state::cold_rights::ColdRights;
use nutmeggrade_state::config_table::ConfigTable;
use nutmeggrade_state::endpoint_table::EndpointTable;
use nutmeggrade_state::explain_log::ExplainLog;
use nutmeggrade_state::fence::Fence;
use nutmeggrade_state::membership::Membership;
use nutmeggrade_state::order_table::OrderTable;
use nutmeggrade_state::orphans::Orphans;
use nutmeggrade_state::own_intents::OwnIntents;
use nutmeggrade_state::recent_changes::RecentChanges;
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
    /// Rights to cold endpoints, under a lease.
    pub rights: Mutex<ColdRights>,
    /// What operators want of engines.
    pub orders: Mutex<OrderTable>,
    /// Admission and routing of generations.
    pub scheduler: Mutex<Scheduler>,
    /// Routing of service calls.
    pub picker: Mutex<ServicePicker>,
    /// Whether failed attempts may be repeated.
    pub retries: Mutex<RetryBudget>,
    /// Whether new work may be taken.
    pub fence: Mutex<Fence>,
    /// Requests that wait.
    pub waiters: Mutex<Waiters>,
    /// What was decided about recent requests.
    pub explain: Mutex<ExplainLog>,
    /// Accepted changes that were in force lately.
    pub changes: Mutex<RecentChanges>,
    /// What this instance did and refused.
    pub audit: Mutex<AuditLog>,
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
            rights: Mutex::new(ColdRights::new(&own.instance, own.incarnation)),
            orders: Mutex::new(OrderTable::new()),
            scheduler: Mutex::new(Scheduler::new(seed)),
            picker: Mutex::new(ServicePicker::new()),
            retries: Mutex::new(RetryBudget::new(seed)),
            fence: Mutex::new(Fence::new(settings.fence)),
            waiters: Mutex::new(Waiters::new()),
            explain: Mutex::new(ExplainLog::default()),
            changes: Mutex::new(RecentChanges::default()),
            audit: Mutex::new(AuditLog::new(&own.instance, own.incarnation)),
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
