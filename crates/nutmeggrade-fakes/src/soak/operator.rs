//! Configuration changes and evacuations during a soak.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::endpoints::DOMAINS;
use super::records::{ConfigVersion, Evacuation, Records};
use crate::site::{RoutingPlan, Store};

/// Largest step between two consecutive configuration versions.
const MAX_VERSION_STEP: u64 = 3;

/// Writes configurations and evacuates failure domains.
#[derive(Debug)]
pub struct Operator {
    store: Store,
    plan: Mutex<RoutingPlan>,
    is_evacuating: AtomicBool,
}

impl Operator {
    /// Writes the first configuration.
    pub fn start(store: &Store, records: &Records) -> Self {
        let plan = RoutingPlan { timeout_ms: 8_000, has_late: true, ..RoutingPlan::default() };
        let operator = Self {
            store: store.clone(),
            plan: Mutex::new(plan.clone()),
            is_evacuating: AtomicBool::new(false),
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

    fn write(&self, plan: &RoutingPlan, records: &Records) {
        self.store.put("config", "main", plan.content());
        let (number, has_late, keys) = (plan.version, plan.has_late, plan.keys.clone());
        records.add_config_version(ConfigVersion { at: Instant::now(), number, has_late, keys });
    }
}
