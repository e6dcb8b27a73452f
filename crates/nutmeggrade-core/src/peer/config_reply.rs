//! Configurations that instances fetch from each other.

use serde::{Deserialize, Serialize};

use super::PackedText;

/// Configuration that an instance sends to a peer that has read an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Revision of the platform's store at which the configuration was read.
    pub revision: u64,
    /// The configuration as the platform wrote it.
    pub text: PackedText,
}

impl ConfigReply {
    /// Encodes the reply.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no reply.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
