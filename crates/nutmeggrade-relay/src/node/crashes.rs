//! Records crashes of endpoints under requests, as seen by this instance or its peers.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::{
    ContentId, CrashSuspect, EndpointCrash, FleetMessage, PartCrash, Refutation, RequestSuspects,
    SharedCrash,
};
use nutmeggrade_core::prelude::*;

use super::Node;
use crate::tables::lock;

/// Refutations per datagram, some 30 bytes each.
const REFUTATIONS_PER_DATAGRAM: usize = 40;

/// Who saw a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSource {
    /// This instance.
    Own,
    /// A peer.
    Peer,
}

impl CrashSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
        }
    }
}

impl Node {
    /// Records that an endpoint crashed under a request, and sends it to the peers.
    pub fn announce_crash(&self, crash: EndpointCrash) {
        self.note_crash(&crash, CrashSource::Own);
        self.broadcast(FleetMessage::Crashed(crash));
    }

    /// Records that an endpoint crashed under a request.
    pub fn note_crash(&self, crash: &EndpointCrash, source: CrashSource) {
        let noted = lock(&self.tables).crashes.note(crash, self.now());
        if let Some(crashes) = noted {
            self.log_crash(crash, crashes, source);
        }
    }

    /// Records a crash that a peer repeats.
    pub fn note_shared_crash(&self, shared: &SharedCrash) {
        let noted = lock(&self.tables).crashes.note_shared(shared, self.now());
        if let Some(crashes) = noted {
            self.log_crash(&shared.crash, crashes, CrashSource::Peer);
        }
    }

    /// Records crashes under prompt parts that a peer repeats.
    pub fn note_shared_part_crashes(&self, crashes: &[PartCrash]) {
        let (now, tables) = (self.now(), &mut *lock(&self.tables));
        for crash in crashes {
            tables.crashes.note_shared_part(crash, now);
        }
    }

    /// Counts losses at endpoints that are registered no longer as crashes.
    pub fn settle_losses(&self) {
        let settled = {
            let tables = &mut *lock(&self.tables);
            let registry = &tables.registry;
            tables.crashes.settle(|id, born| registry.has_ended(id, born), self.now())
        };
        self.announce_settled(settled);
    }

    /// Counts losses at an endpoint as crashes, since another one has its address.
    pub fn settle_losses_at(&self, endpoint: &EndpointId) {
        let settled = lock(&self.tables).crashes.settle(|id, _| id == endpoint, self.now());
        self.announce_settled(settled);
    }

    /// Records that an endpoint completed a request, which therefore crashes none.
    pub fn note_completed(&self, suspects: &RequestSuspects) {
        lock(&self.tables).crashes.note_completed(suspects, self.now());
    }

    /// Records that peers know suspects not to crash endpoints.
    pub fn note_refuted(&self, refuted: &[Refutation]) {
        let (now, tables) = (self.now(), &mut *lock(&self.tables));
        for refutation in refuted {
            tables.crashes.note_refuted(refutation, now);
        }
    }

    /// Tells the peers which suspects this instance knows not to crash endpoints, and reports the
    /// culprits.
    pub fn review_suspects(&self) {
        let now = self.now();
        let (refuted, culprits) = {
            let tables = &mut *lock(&self.tables);
            let refuted = if tables.crashes.has_suspects() {
                tables.crashes.take_refutations(&tables.running, now)
            } else {
                Vec::new()
            };
            (refuted, tables.crashes.culprits(now))
        };
        self.report_culprits(culprits);
        for batch in refuted.chunks(REFUTATIONS_PER_DATAGRAM) {
            self.broadcast(FleetMessage::Refuted(batch.to_vec()));
        }
    }

    /// Logs changes of the culprits and sets their metric.
    fn report_culprits(&self, culprits: BTreeMap<CrashSuspect, usize>) {
        let mut last = lock(&self.culprits);
        if *last == culprits {
            return;
        }
        for (culprit, crashes) in culprits.iter().filter(|(c, _)| !last.contains_key(c)) {
            tracing::warn!(event = "culprit_held", culprit = culprit.kind(), key = %culprit, crashes);
        }
        for culprit in last.keys().filter(|c| !culprits.contains_key(c)) {
            tracing::info!(event = "culprit_released", culprit = culprit.kind(), key = %culprit);
        }
        for kind in ["request", "part"] {
            let count = culprits.keys().filter(|c| c.kind() == kind).count();
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.held_culprits.with_label_values(&[kind]).set(count);
        }
        *last = culprits;
    }

    fn announce_settled(&self, settled: Vec<(EndpointCrash, usize)>) {
        for (crash, crashes) in settled {
            self.log_crash(&crash, crashes, CrashSource::Own);
            self.broadcast(FleetMessage::Crashed(crash));
        }
    }

    fn log_crash(&self, crash: &EndpointCrash, crashes: usize, source: CrashSource) {
        self.metrics.crashes.with_label_values(&[source.as_str()]).inc();
        tracing::info!(event = "crash_noted", content = %ContentId(&crash.request),
            endpoint = %crash.endpoint, born = crash.born, crashes, source = source.as_str());
    }
}
