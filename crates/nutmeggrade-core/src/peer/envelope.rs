//! Framing and authentication of messages between instances.
//!
//! A frame is a version byte, a 32-byte tag keyed with the peers' secret, and the message in
//! `MessagePack` with field names, so that a newer instance can add fields during a rolling
//! restart.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the frame format; messages of other versions are dropped.
pub const WIRE_VERSION: u8 = 1;
/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
const TAG_BYTES: usize = 32;
const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Error for a frame that is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnvelopeError {
    /// The frame is shorter than its header or larger than [`MAX_FRAME_BYTES`].
    Size,
    /// The frame has an unsupported version.
    Version,
    /// The tag does not match the peers' key.
    Tag,
    /// The body is authentic but can't be decoded, or the message can't be encoded.
    Body,
}

impl fmt::Display for EnvelopeError {
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

impl std::error::Error for EnvelopeError {}

/// Encodes a message and adds its authentication tag.
pub fn seal<T: Serialize>(message: &T, key: &[u8; 32]) -> Result<Vec<u8>, EnvelopeError> {
    let Ok(body) = rmp_serde::to_vec_named(message) else {
        return Err(EnvelopeError::Body);
    };
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.push(WIRE_VERSION);
    frame.extend_from_slice(blake3::keyed_hash(key, &body).as_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Verifies and decodes a message; the tag is verified before any of the body is parsed.
pub fn open<T: DeserializeOwned>(frame: &[u8], key: &[u8; 32]) -> Result<T, EnvelopeError> {
    if frame.len() < HEADER_BYTES || frame.len() > MAX_FRAME_BYTES {
        return Err(EnvelopeError::Size);
    }
    if frame[0] != WIRE_VERSION {
        return Err(EnvelopeError::Version);
    }
    let body = &frame[HEADER_BYTES..];
    let tag: [u8; TAG_BYTES] = frame[1..HEADER_BYTES].try_into().or(Err(EnvelopeError::Size))?;
    if blake3::keyed_hash(key, body) != tag {
        return Err(EnvelopeError::Tag);
    }
    rmp_serde::from_slice(body).or(Err(EnvelopeError::Body))
}
