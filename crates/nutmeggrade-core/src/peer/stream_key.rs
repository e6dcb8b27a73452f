//! Keys of streams that clients may resume.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{RequestId, WorkspaceId};

/// Key of a stream: a hash of its workspace and of the client's attempt that brought its first event.
///
/// With the workspace in it, a client can't resume the stream of another workspace whose attempt it
/// knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Creates the key of a stream.
    pub fn new(workspace: Option<&WorkspaceId>, attempt: &RequestId) -> Self {
        let mut hasher = blake3::Hasher::new();
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(attempt.as_str().as_bytes());
        let hash = hasher.finalize();
        Self(u64::from_le_bytes(std::array::from_fn(|i| hash.as_bytes()[i])))
    }

    /// Returns a number that ranks something with the hash `other` for this stream; each stream has
    /// another order.
    pub const fn rank(self, other: u64) -> u64 {
        // The finalizer of splitmix64.
        let mixed = self.0 ^ other;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
