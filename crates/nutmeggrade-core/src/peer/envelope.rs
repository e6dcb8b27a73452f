//! The frame around every message between instances.
//!
//! One version byte, a 32-byte tag keyed with the peers' secret, then the message in `MessagePack`
//! with field names, so that a newer instance may add fields during a rolling restart.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the frame; a message of another version is dropped.
pub const WIRE_VERSION: u8 = 1;
/// Largest message that is read, in bytes.
pub const MAX_MESSAGE: usize = 1 << 20;
const TAG_LEN: usize = 32;
const HEAD_LEN: usize = 1 + TAG_LEN;

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadEnvelope {
    /// Shorter than its head or larger than [`MAX_MESSAGE`].
    Size,
    /// Of another version.
    Version,
    /// Not made with the peers' key.
    Tag,
    /// Authentic but not understood.
    Body,
}

impl fmt::Display for BadEnvelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Size => "size",
            Self::Version => "version",
            Self::Tag => "tag",
            Self::Body => "body",
        };
        f.write_str(text)
    }
}

impl std::error::Error for BadEnvelope {}

/// Encodes and authenticates a message.
pub fn seal<T: Serialize>(message: &T, key: &[u8; 32]) -> Result<Vec<u8>, BadEnvelope> {
    let Ok(body) = rmp_serde::to_vec_named(message) else {
        return Err(BadEnvelope::Body);
    };
    let mut frame = Vec::with_capacity(HEAD_LEN + body.len());
    frame.push(WIRE_VERSION);
    frame.extend_from_slice(blake3::keyed_hash(key, &body).as_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Checks and decodes a message; the tag is checked before a byte of the body is parsed.
pub fn open<T: DeserializeOwned>(frame: &[u8], key: &[u8; 32]) -> Result<T, BadEnvelope> {
    if frame.len() < HEAD_LEN || frame.len() > MAX_MESSAGE {
        return Err(BadEnvelope::Size);
    }
    if frame[0] != WIRE_VERSION {
        return Err(BadEnvelope::Version);
    }
    let body = &frame[HEAD_LEN..];
    let found: [u8; TAG_LEN] = frame[1..HEAD_LEN].try_into().or(Err(BadEnvelope::Size))?;
    if blake3::keyed_hash(key, body) != found {
        return Err(BadEnvelope::Tag);
    }
    rmp_serde::from_slice(body).or(Err(BadEnvelope::Body))
}
