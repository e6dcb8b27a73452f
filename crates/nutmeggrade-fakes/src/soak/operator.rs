//! What operators do in a soak.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::ledger::{Absence, Ledger, Version};
use super::lives::DOMAINS;
use crate::site::{RoutingPlan, Store};

/// Versions go up in steps of up to so many.
const STEP: u64 = 3;

/// Writes configurations and takes failure domains out.
#[derive(Debug)]
pub struct Operator {
    store: Store,
    plan: Mutex<RoutingPlan>,
    is_out: AtomicBool,
}

impl Operator {
    /// Writes the first configuration.
    pub fn start(store: &Store, ledger: &Ledger) -> Self {
        let plan = RoutingPlan { timeout_ms: 8_000, has_late: true, ..RoutingPlan::default() };
        let operator = Self {
            store: store.clone(),
            plan: Mutex::new(plan.clone()),
            is_out: AtomicBool::new(false),
        };
        operator.write(&plan, ledger);
        operator
    }

    /// Writes a configuration in which the route `/late/` and the second key came or went.
    pub fn change(&self, ledger: &Ledger) {
        let plan = {
            let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
            plan.version += 1 + plan.version % STEP;
            plan.has_late = !plan.has_late;
            let with_second = plan.version.is_multiple_of(2);
            plan.keys.truncate(1);
            if with_second {
                plan.keys.push("key-2".to_owned());
            }
            plan.clone()
        };
        self.write(&plan, ledger);
    }

    /// Takes a failure domain out for a while, unless one is out already.
    pub async fn take_out(&self, domain: usize, time: Duration, ledger: &Ledger) {
        let domain = DOMAINS[domain];
        if self.is_out.swap(true, Ordering::Relaxed) {
            return;
        }
        self.store.put("evacuations", domain, json!({}));
        let from = Instant::now();
        // Longer than it takes to be in force, or there would be nothing to check.
        sleep(time + Duration::from_secs(3)).await;
        ledger.absence(Absence { domain, from, until: Instant::now() });
        self.store.remove("evacuations", domain);
        self.is_out.store(false, Ordering::Relaxed);
    }

    fn write(&self, plan: &RoutingPlan, ledger: &Ledger) {
        self.store.put("config", "main", plan.content());
        let (number, has_late, keys) = (plan.version, plan.has_late, plan.keys.clone());
        ledger.version(Version { at: Instant::now(), number, has_late, keys });
    }
}
