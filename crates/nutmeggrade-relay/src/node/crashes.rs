//! Records crashes of endpoints under requests, as seen by this instance or its peers.

use nutmeggrade_core::peer::{ContentId, EndpointCrash, Fingerprint, FleetMessage, SharedCrash};
use nutmeggrade_core::prelude::*;

use super::Node;
use crate::tables::lock;

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
    pub fn note_completed(&self, request: &Fingerprint) {
        lock(&self.tables).crashes.note_completed(request, self.now());
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
