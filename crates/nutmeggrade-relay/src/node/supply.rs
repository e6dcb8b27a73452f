//! Encoded endpoints for peers.

use std::time::Duration;

use bytes::Bytes;
use nutmeggrade_core::prelude::*;
use nutmeggrade_wire::kinds::Kind;

use super::Node;
use crate::tables::lock;
use crate::watch::endpoints_since;

/// Time for which an encoded response is used. The remaining cold time of endpoints in it counts
/// from when it was encoded.
const MAX_AGE: Duration = Duration::from_millis(500);

/// An encoded response to a peer. Hundreds of peers ask for the same when a fleet starts.
#[derive(Debug)]
pub struct EncodedEndpoints {
    /// Revision that the peer had read.
    since: u64,
    /// Revision that this instance had read.
    revision: u64,
    /// Whether missing endpoints may only have expired.
    lapses: bool,
    encoded_at: Moment,
    bytes: Bytes,
}

impl Node {
    /// Returns what this instance has read of the endpoints beyond a peer's revision, encoded; empty
    /// if it can't be encoded.
    pub fn encode_endpoints(&self, since: u64) -> Bytes {
        let revision = self.read_state.of(Kind::Endpoints).change_revision();
        let lapses = self.may_have_expired();
        let mut cached = lock(&self.encoded_endpoints);
        let now = self.now();
        let is_same = |c: &EncodedEndpoints| {
            (c.since, c.revision, c.lapses) == (since, revision, lapses)
                && now.since(c.encoded_at) <= MAX_AGE
        };
        if let Some(same) = cached.as_ref().filter(|c| is_same(c)) {
            return same.bytes.clone();
        }
        let bytes = match endpoints_since(self, since).encode() {
            Ok(encoded) => Bytes::from(encoded),
            Err(error) => {
                tracing::error!(event = "endpoints_unsendable", %error);
                return Bytes::new();
            }
        };
        let encoded =
            EncodedEndpoints { since, revision, lapses, encoded_at: now, bytes: bytes.clone() };
        *cached = Some(encoded);
        bytes
    }
}
