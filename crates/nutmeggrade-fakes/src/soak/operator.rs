//! Configuration changes, evacuations and entries of another writer during a soak.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::endpoints::DOMAINS;
use super::odd_entry::OddEntry;
use super::records::{ConfigVersion, Evacuation, Records};
use crate::site::{RawPart, RoutingPlan, Store};

/// Largest step between two consecutive configuration versions.
const MAX_VERSION_STEP: u64 = 3;

/// Writes configurations and evacuates failure domains.
#[derive(Debug)]
pub struct Operator {
    store: Store,
    plan: Mutex<RoutingPlan>,
    is_evacuating: AtomicBool,
    odd_entries: AtomicUsize,
}

impl Operator {
    /// Writes the first configuration, whose routes have this timeout.
    pub fn start(store: &Store, records: &Records, timeout: Duration) -> Self {
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let plan = RoutingPlan { timeout_ms, has_late: true, ..RoutingPlan::default() };
        let operator = Self {
            store: store.clone(),
            plan: Mutex::new(plan.clone()),
            is_evacuating: AtomicBool::new(false),
            odd_entries: AtomicUsize::new(0),
        };
        operator.write(&plan, records);
        operator
    }

    /// Writes a configuration that toggles the route `/late/` and the second key.
    pub fn change(&self, records: &Records) {
        let plan = {
            let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
            plan.version += 1 + plan.version % MAX_VERSION_STEP;
            plan.has_late = !plan.has_late;
            let has_second_key = plan.version.is_multiple_of(2);
            plan.keys.truncate(1);
            if has_second_key {
                plan.keys.push("key-2".to_owned());
            }
            plan.clone()
        };
        self.write(&plan, records);
    }

    /// Evacuates a failure domain for a limited time; does nothing while an evacuation is active.
    pub async fn evacuate(&self, domain: usize, time: Duration, records: &Records) {
        let domain = DOMAINS[domain];
        if self.is_evacuating.swap(true, Ordering::Relaxed) {
            return;
        }
        self.store.put("evacuations", domain, json!({}));
        let start = Instant::now();
        // Longer than an evacuation takes to apply; otherwise nothing would be checked.
        sleep(time + Duration::from_secs(3)).await;
        records.add_evacuation(Evacuation { domain, start, end: Instant::now() });
        self.store.remove("evacuations", domain);
        self.is_evacuating.store(false, Ordering::Relaxed);
    }

    /// Writes an entry that can't be used, and removes it after `stay`, if any.
    pub async fn write_odd_entry(
        &self,
        entry: OddEntry,
        is_evacuation: bool,
        stay: Option<Duration>,
    ) {
        let kind = if is_evacuation { "evacuations" } else { "servers" };
        let name = format!("odd-{}", self.odd_entries.fetch_add(1, Ordering::Relaxed));
        self.store.put_raw(kind, &name, RawPart::Specification, &entry.content());
        if let Some(stay) = stay {
            sleep(stay).await;
            self.store.remove(kind, &name);
        }
    }

    fn write(&self, plan: &RoutingPlan, records: &Records) {
        self.store.put("config", "main", plan.content());
        let (number, has_late, keys) = (plan.version, plan.has_late, plan.keys.clone());
        records.add_config_version(ConfigVersion { at: Instant::now(), number, has_late, keys });
    }
}
