//! The tables that all workers share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use nutmeggrade_core::peer::InstanceEntry;
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

/// Senders that deliver the scheduler's verdict to each waiting request.
pub type Waiters = BTreeMap<Ticket, oneshot::Sender<Verdict>>;

/// The shared tables; locks are acquired in the order of the fields.
#[derive(Debug)]
pub struct Tables {
    /// Configuration in force.
    pub config: Mutex<ConfigTable>,
    /// Known instances.
    pub members: Mutex<Membership>,
    /// Endpoints with their state.
    pub endpoints: Mutex<EndpointTable>,
    /// Leased rights to cold endpoints.
    pub rights: Mutex<ColdRights>,
    /// Desired state of engines, as set by operators.
    pub orders: Mutex<OrderTable>,
    /// Admission and routing of generations.
    pub scheduler: Mutex<Scheduler>,
    /// Routing of service calls.
    pub picker: Mutex<ServicePicker>,
    /// Budget for retries of failed attempts.
    pub retries: Mutex<RetryBudget>,
    /// Refuses new work while the instance is cut off.
    pub fence: Mutex<Fence>,
    /// Requests that wait for a verdict.
    pub waiters: Mutex<Waiters>,
    /// Decisions about recent requests.
    pub explain: Mutex<ExplainLog>,
    /// Recent configuration changes.
    pub changes: Mutex<RecentChanges>,
    /// Audit trail of this instance.
    pub audit: Mutex<AuditLog>,
    /// Non-idempotent calls whose records have no final outcome yet.
    pub intents: Mutex<OwnIntents>,
    /// Requests that are suspected of crashing engines.
    pub suspects: Mutex<Suspects>,
    /// Generations whose callers left.
    pub orphans: Mutex<Orphans>,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(settings: &Settings, own: &InstanceEntry, seed: u64) -> Self {
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

/// Locks a table and ignores poisoning. Tables change only through methods that don't panic
/// halfway, so they are consistent after a worker's panic; continuing is safer than stopping all
/// workers.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
