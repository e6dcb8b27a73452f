//! All that a request has that may crash endpoints.

use super::{CrashSuspect, Fingerprint, PartKey};

/// All that a request has that may crash endpoints: itself, and the parts of its prompt that other
/// requests may have too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSuspects {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Keys of the parts, each once.
    pub parts: Vec<PartKey>,
}

impl RequestSuspects {
    /// Creates the suspects of a request; a part that is given several times counts once.
    pub fn new(request: Fingerprint, mut parts: Vec<PartKey>) -> Self {
        parts.sort_unstable();
        parts.dedup();
        Self { request, parts }
    }

    /// Returns the suspects.
    pub fn iter(&self) -> impl Iterator<Item = CrashSuspect> {
        CrashSuspect::all(self.request, &self.parts)
    }
}
