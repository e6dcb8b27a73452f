//! Generations whose callers left.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// How long a caller that lost its connection has to resume.
pub const GRACE: Duration = Duration::from_secs(10);
/// How long a resumed generation is told to the peers: until each that lost its caller has looked.
const TELL: Duration = Duration::from_secs(30);
/// Generations that are told at a time.
const MOST: usize = 256;

#[derive(Debug)]
struct Orphan {
    address: SocketAddr,
    since: Moment,
}

/// Generations whose callers left, until they resume or their time is over.
///
/// A generation that nobody reads holds the engine's memory until it ends, which crowds out others;
/// one notices running generations that no instance counts. It is cancelled after a grace. But its
/// caller may have resumed at another instance, and a cancel would then cut a good stream: instances
/// tell each other what was resumed, and no generation is cancelled before each peer was heard after
/// the grace.
#[derive(Debug, Default)]
pub struct Orphans {
    left: BTreeMap<GenerationId, Orphan>,
    resumed: BTreeMap<GenerationId, Moment>,
}

impl Orphans {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a caller left.
    pub fn leave(&mut self, generation: GenerationId, address: SocketAddr, now: Moment) {
        self.left.insert(generation, Orphan { address, since: now });
    }

    /// Notes that a caller resumed here.
    pub fn resume(&mut self, generation: GenerationId, now: Moment) {
        self.left.remove(&generation);
        self.resumed.retain(|_, at| now.since(*at) <= TELL);
        self.resumed.insert(generation, now);
    }

    /// Takes what a peer resumed.
    pub fn hear(&mut self, resumed: &BTreeSet<GenerationId>) {
        self.left.retain(|generation, _| !resumed.contains(generation));
    }

    /// Returns what was resumed here lately, the newest if there are too many.
    pub fn tell(&self, now: Moment) -> BTreeSet<GenerationId> {
        let mut recent: Vec<_> =
            self.resumed.iter().filter(|(_, at)| now.since(**at) <= TELL).collect();
        recent.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        recent.into_iter().map(|(g, _)| *g).take(MOST).collect()
    }

    /// Takes out what is to be cancelled now; `heard` tells whether every peer was heard at or after
    /// a moment.
    pub fn due(
        &mut self,
        now: Moment,
        heard: impl Fn(Moment) -> bool,
    ) -> Vec<(GenerationId, SocketAddr)> {
        let is_due = |o: &Orphan| now.since(o.since) > GRACE && heard(o.since.after(GRACE));
        let due: Vec<_> =
            self.left.iter().filter(|(_, o)| is_due(o)).map(|(g, o)| (*g, o.address)).collect();
        for (generation, _) in &due {
            self.left.remove(generation);
        }
        due
    }

    /// Returns how many wait for their callers.
    pub fn waiting(&self) -> usize {
        self.left.len()
    }
}
