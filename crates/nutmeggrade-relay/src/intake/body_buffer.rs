//! A buffer whose memory is accounted for.

use bytes::Bytes;
use nutmeggrade_policy::intake::MemoryFull;

use super::connection_memory::ConnectionMemory;

/// First allocation of a body of unknown length.
const FIRST_BYTES: usize = 4 << 10;

/// A buffer that grows within the memory of its connection.
///
/// Parts are copied, since a slice of what was received keeps the whole buffer that it was read into,
/// which for a chunk of one byte is thousands of times as large.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    memory: ConnectionMemory,
    purpose: &'static str,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    pub fn new(memory: &ConnectionMemory, max_bytes: usize, purpose: &'static str) -> Self {
        Self { bytes: Vec::new(), max_bytes, memory: memory.clone(), purpose }
    }

    /// Allocates memory for a body of a known length, so that it is refused before it is sent rather
    /// than in the middle.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn reserve(&mut self, length: usize) -> Result<(), MemoryFull> {
        self.reallocate(length)
    }

    /// Returns whether a part of this size fits.
    pub fn fits(&self, part: usize) -> bool {
        self.bytes.len() + part <= self.max_bytes
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn push(&mut self, part: &[u8]) -> Result<(), MemoryFull> {
        let needed = self.bytes.len() + part.len();
        if needed > self.bytes.capacity() {
            let doubled = FIRST_BYTES.max(self.bytes.capacity() * 2).min(self.max_bytes);
            self.reallocate(doubled.max(needed))?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body, whose memory is released when the response has ended.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }

    fn reallocate(&mut self, capacity: usize) -> Result<(), MemoryFull> {
        let old = self.bytes.capacity();
        // Both allocations exist while the bytes are copied.
        self.memory.grow(capacity, self.purpose)?;
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
        self.memory.shrink(old);
        Ok(())
    }
}
