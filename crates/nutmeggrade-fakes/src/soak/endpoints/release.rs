//! Releases of a new software version of the engines.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::future::try_join_all;
use tokio::time::{Instant, sleep};

use super::{SoakEndpoints, lock};
use crate::soak::action::Release;

impl SoakEndpoints {
    /// Starts engines of a new version beside old ones, which leave afterwards.
    pub async fn release(&self, release: Release) -> anyhow::Result<()> {
        self.engine_version.fetch_add(1, Ordering::Relaxed);
        let engines = lock(&self.slots).iter().filter(|s| s.service == "writers").count();
        let slots = (0..release.count).map(|n| (release.first + n) % engines);
        try_join_all(slots.map(|slot| self.upgrade(slot, release))).await.map(drop)
    }

    /// Starts a new engine in a slot and lets the old one leave.
    async fn upgrade(&self, slot: usize, release: Release) -> anyhow::Result<()> {
        let Some(incarnation) = self.claim_slot(slot) else { return Ok(()) };
        let (id, entry) = self.entry(slot);
        let endpoint = self.endpoint(slot);
        // The link of the old engine stays as long as it.
        let relay = Arc::clone(&lock(&self.slots)[slot].relay);
        self.replace(slot, None).await?;
        sleep(release.overlap).await;
        if release.is_announced {
            endpoint.notices().set_leaving(true);
            endpoint.announce_leave(release.leave_delay);
            self.store.put("servers", &id, entry.with_leaving(true).content());
        } else {
            self.store.remove("servers", &id);
        }
        lock(&self.incarnations)[incarnation].left_at = Some(Instant::now());
        sleep(release.leave_delay).await;
        self.terminate(incarnation, &endpoint);
        self.store.remove("servers", &id);
        drop(relay);
        Ok(())
    }
}
