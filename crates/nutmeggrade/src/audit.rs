//! Audit trail: entries are logged at once, and written to the platform when it is available.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nutmeggrade_core::audit::{AuditEntry, AuditEvent};
use nutmeggrade_platform::{Platform, PlatformError};
use serde_json::Value;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Number of entries kept in the platform for one instance name; older ones are removed.
const MAX_ENTRIES: u64 = 64;
/// Interval between checks for pending entries; also the minimum interval between writes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<P: Platform> Node<P> {
    /// Records an action or a refusal of this instance in the log and in the audit trail.
    pub fn audit(&self, event: AuditEvent, detail: &str) {
        let config = lock(&self.tables.config).version();
        let now = self.now();
        let at_ms = unix_time_ms();
        let is_new = lock(&self.tables.audit).note(event, detail, config, at_ms, now).is_some();
        if is_new {
            let instance = &self.entry.instance;
            let name = event.as_str();
            tracing::info!(event = "audit", %instance, audit = name, config, detail);
        }
    }
}

/// Writes pending entries one by one.
pub async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut next_free = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let pending = lock(&node.tables.audit).first_pending().cloned();
        let Some(entry) = pending else { continue };
        if next_free.is_none() {
            next_free = next_position(&node).await;
        }
        let Some(position) = next_free else { continue };
        if write(&node, &entry, position).await {
            lock(&node.tables.audit).mark_written(entry.number);
            remove_oldest(&node, position).await;
            next_free = Some(position + 1);
        } else {
            next_free = None;
        }
    }
}

/// Returns the position after the newest entry of this instance's name, of any incarnation.
async fn next_position<P: Platform>(node: &Node<P>) -> Option<u64> {
    let prefix = AuditEntry::prefix(&node.entry.instance);
    let listed = node.platform.list(&prefix).await.ok()?;
    let newest = listed.objects.iter().filter_map(|o| AuditEntry::place(&o.key)).max();
    Some(newest.map_or(1, |n| n + 1))
}

/// Creates the entry; returns whether the platform has it.
///
/// The response can be lost after the write took effect, and an earlier incarnation may have used
/// the position. So the entry is read back, and if it differs it is written at a later position: no
/// entry is lost or duplicated.
async fn write<P: Platform>(node: &Node<P>, entry: &AuditEntry, position: u64) -> bool {
    let Ok(value) = serde_json::to_value(entry) else { return true };
    let key = AuditEntry::key(&node.entry.instance, position);
    match node.platform.create(&key, &value).await {
        Ok(_) => true,
        Err(PlatformError::Refused(_)) => false,
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {
            is_stored(node, &key, &value).await
        }
    }
}

async fn is_stored<P: Platform>(node: &Node<P>, key: &str, value: &Value) -> bool {
    let stored = node.platform.read(key).await.ok().flatten();
    stored.and_then(|o| o.value).as_ref() == Some(value)
}

async fn remove_oldest<P: Platform>(node: &Node<P>, position: u64) {
    let Some(oldest) = position.checked_sub(MAX_ENTRIES) else { return };
    let key = AuditEntry::key(&node.entry.instance, oldest);
    let Ok(Some(object)) = node.platform.read(&key).await else { return };
    if let Err(error) = node.platform.remove(&key, object.version).await {
        tracing::debug!(event = "audit_not_removed", key, %error);
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
