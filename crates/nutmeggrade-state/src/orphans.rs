//! Generations whose callers disconnected.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time in which a caller that lost its connection can resume.
pub const RESUME_GRACE: Duration = Duration::from_secs(10);
/// How long a resumed generation is announced to the peers: until each peer that lost its caller
/// has processed it.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(30);
/// Maximum number of generations in one announcement.
const MAX_ANNOUNCED: usize = 256;

#[derive(Debug)]
struct Orphan {
    address: SocketAddr,
    since: Moment,
}

/// Generations whose callers disconnected, until they resume or their grace period ends.
///
/// A generation without a reader occupies the engine's memory until it ends, which crowds out
/// others; the symptom is running generations that no instance counts. It is cancelled after a
/// grace period. Its caller may have resumed at another instance, though, and the cancellation
/// would then cut a stream in use. So instances announce resumed generations to each other, and a
/// generation is cancelled only after a heartbeat from each peer that is later than its grace
/// period.
#[derive(Debug, Default)]
pub struct Orphans {
    orphans: BTreeMap<GenerationId, Orphan>,
    resumed: BTreeMap<GenerationId, Moment>,
}

impl Orphans {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a caller disconnected.
    pub fn leave(&mut self, generation: GenerationId, address: SocketAddr, now: Moment) {
        self.orphans.insert(generation, Orphan { address, since: now });
    }

    /// Records that a caller resumed at this instance.
    pub fn resume(&mut self, generation: GenerationId, now: Moment) {
        self.orphans.remove(&generation);
        self.resumed.retain(|_, at| now.since(*at) <= ANNOUNCEMENT_PERIOD);
        self.resumed.insert(generation, now);
    }

    /// Removes generations that were resumed at a peer.
    pub fn remove_resumed(&mut self, resumed: &BTreeSet<GenerationId>) {
        self.orphans.retain(|generation, _| !resumed.contains(generation));
    }

    /// Returns the generations recently resumed at this instance, the newest if there are too many.
    pub fn recently_resumed(&self, now: Moment) -> BTreeSet<GenerationId> {
        let mut recent: Vec<_> =
            self.resumed.iter().filter(|(_, at)| now.since(**at) <= ANNOUNCEMENT_PERIOD).collect();
        recent.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        recent.into_iter().map(|(g, _)| *g).take(MAX_ANNOUNCED).collect()
    }

    /// Removes and returns the generations to cancel. `all_heard` returns whether every peer was
    /// heard from at or after a moment.
    pub fn due(
        &mut self,
        now: Moment,
        all_heard: impl Fn(Moment) -> bool,
    ) -> Vec<(GenerationId, SocketAddr)> {
        let is_due = |o: &Orphan| {
            now.since(o.since) > RESUME_GRACE && all_heard(o.since.after(RESUME_GRACE))
        };
        let due: Vec<_> =
            self.orphans.iter().filter(|(_, o)| is_due(o)).map(|(g, o)| (*g, o.address)).collect();
        for (generation, _) in &due {
            self.orphans.remove(generation);
        }
        due
    }

    /// Returns the number of generations that wait for their callers.
    pub fn waiting(&self) -> usize {
        self.orphans.len()
    }
}
