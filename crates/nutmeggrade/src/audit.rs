//! Entries of the audit trail: noted at once, written to the platform when it answers.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nutmeggrade_core::audit::{AuditEntry, AuditEvent};
use nutmeggrade_platform::{Platform, PlatformError};
use serde_json::Value;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Entries of one instance name that the platform keeps; older ones are removed.
const KEPT: u64 = 64;
/// Pause between looks at what waits; also spaces an instance's writes.
const PAUSE: Duration = Duration::from_millis(250);

impl<P: Platform> Node<P> {
    /// Notes what this instance did or refused, in the log and in the audit trail.
    pub fn audit(&self, event: AuditEvent, detail: &str) {
        let config = lock(&self.tables.config).version();
        let now = self.now();
        let at_ms = wall_ms();
        let is_new = lock(&self.tables.audit).note(event, detail, config, at_ms, now).is_some();
        if is_new {
            let instance = &self.entry.instance;
            let name = event.as_str();
            tracing::info!(event = "audit", %instance, audit = name, config, detail);
        }
    }
}

/// Writes what waits, one entry after another.
pub async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut next = None;
    loop {
        sleep(PAUSE).await;
        let pending = lock(&node.tables.audit).first_pending().cloned();
        let Some(entry) = pending else { continue };
        if next.is_none() {
            next = first_free(&node).await;
        }
        let Some(place) = next else { continue };
        if write(&node, &entry, place).await {
            lock(&node.tables.audit).written(entry.number);
            remove_old(&node, place).await;
            next = Some(place + 1);
        } else {
            next = None;
        }
    }
}

/// Returns the place after the newest entry of this instance's name, in any of its lives.
async fn first_free<P: Platform>(node: &Node<P>) -> Option<u64> {
    let prefix = AuditEntry::prefix(&node.entry.instance);
    let listed = node.platform.list(&prefix).await.ok()?;
    let newest = listed.objects.iter().filter_map(|o| AuditEntry::place(&o.key)).max();
    Some(newest.map_or(1, |n| n + 1))
}

/// Creates the entry; says whether the platform has it.
///
/// The answer can be lost after the write took effect, and an earlier life may have used the place.
/// The entry is read back: it is the same or it is written at a later place, so none is lost and
/// none stands twice.
async fn write<P: Platform>(node: &Node<P>, entry: &AuditEntry, place: u64) -> bool {
    let Ok(value) = serde_json::to_value(entry) else { return true };
    let key = AuditEntry::key(&node.entry.instance, place);
    match node.platform.create(&key, &value).await {
        Ok(_) => true,
        Err(PlatformError::Refused(_)) => false,
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {
            is_there(node, &key, &value).await
        }
    }
}

async fn is_there<P: Platform>(node: &Node<P>, key: &str, value: &Value) -> bool {
    let found = node.platform.read(key).await.ok().flatten();
    found.and_then(|o| o.value).as_ref() == Some(value)
}

async fn remove_old<P: Platform>(node: &Node<P>, place: u64) {
    let Some(old) = place.checked_sub(KEPT) else { return };
    let key = AuditEntry::key(&node.entry.instance, old);
    let Ok(Some(object)) = node.platform.read(&key).await else { return };
    if let Err(error) = node.platform.remove(&key, object.version).await {
        tracing::debug!(event = "audit_not_removed", key, %error);
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
