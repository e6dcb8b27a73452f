//! Records crashes of endpoints under requests, as seen by this instance or its peers.

use nutmeggrade_core::peer::{ContentId, EndpointCrash};

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
    /// Records and logs that an endpoint crashed under a request.
    pub fn note_crash(&self, crash: &EndpointCrash, source: CrashSource) {
        let noted = lock(&self.tables).crashes.note(crash, self.now());
        let Some(crashes) = noted else { return };
        self.metrics.crashes.with_label_values(&[source.as_str()]).inc();
        tracing::info!(event = "crash_noted", content = %ContentId(&crash.request),
            endpoint = %crash.endpoint, born = crash.born, crashes, source = source.as_str());
    }
}
