//! Short form of a request's fingerprint for logs.

use std::fmt;

use super::Fingerprint;

/// Bytes of a fingerprint that logs show.
const SHOWN_BYTES: usize = 8;

/// Shows the beginning of a request's fingerprint, which is the same on all instances.
#[derive(Debug, Clone, Copy)]
pub struct ContentId<'a>(pub &'a Fingerprint);

impl fmt::Display for ContentId<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(SHOWN_BYTES).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
