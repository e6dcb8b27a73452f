//! A buffer whose memory is accounted for.

use bytes::Bytes;
use nutmeggrade_policy::intake::MemoryFull;

use super::connection_memory::ConnectionMemory;

/// Size of the first segment of a body of unknown length, which most bodies fit into.
const FIRST_BYTES: usize = 4 << 10;
/// Size of the further segments. Freed segments of one size are used again for other bodies; buffers that
/// double leave the allocator with gaps of all sizes.
const SEGMENT_BYTES: usize = 64 << 10;

/// A buffer that grows within the memory of its connection.
///
/// Parts are copied, since a slice keeps the whole buffer that it was read into.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
    max_bytes: usize,
    memory: ConnectionMemory,
    purpose: &'static str,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    pub fn new(memory: &ConnectionMemory, max_bytes: usize, purpose: &'static str) -> Self {
        Self { segments: Vec::new(), length: 0, max_bytes, memory: memory.clone(), purpose }
    }

    /// Allocates memory for a body of a known length, so that it is refused before it is sent rather
    /// than in the middle.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn reserve(&mut self, length: usize) -> Result<(), MemoryFull> {
        self.add_segment(length)
    }

    /// Returns whether a part of this size fits.
    pub fn fits(&self, part: usize) -> bool {
        self.length + part <= self.max_bytes
    }

    /// Appends a part as a whole.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full; nothing was appended then.
    pub fn push(&mut self, part: &[u8]) -> Result<(), MemoryFull> {
        let room = self.segments.last().map_or(0, |s| s.capacity() - s.len());
        let (into_last, rest) = part.split_at(room.min(part.len()));
        if !rest.is_empty() {
            let size = if self.segments.is_empty() { FIRST_BYTES } else { SEGMENT_BYTES };
            let last = self.segments.len();
            self.add_segment(size.max(rest.len()))?;
            self.segments[last].extend_from_slice(rest);
            if let Some(previous) = last.checked_sub(1) {
                self.segments[previous].extend_from_slice(into_last);
            }
        } else if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(into_last);
        }
        self.length += part.len();
        Ok(())
    }

    /// Returns the body in one piece, whose memory is released when the response has ended.
    ///
    /// # Errors
    ///
    /// Returns the buffer if the memory is full.
    pub fn into_bytes(mut self) -> Result<Bytes, Self> {
        if self.segments.len() <= 1 {
            return Ok(self.segments.pop().unwrap_or_default().into());
        }
        // Both copies exist until the segments are dropped.
        if self.memory.grow(self.length, self.purpose).is_err() {
            return Err(self);
        }
        let capacity = self.segments.iter().map(Vec::capacity).sum();
        let bytes = std::mem::take(&mut self.segments).concat();
        self.memory.shrink(capacity);
        Ok(bytes.into())
    }

    /// Returns the body in the segments that it was received in.
    pub fn into_segments(self) -> impl Iterator<Item = Bytes> {
        self.segments.into_iter().map(Bytes::from)
    }

    fn add_segment(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        self.memory.grow(bytes, self.purpose)?;
        self.segments.push(Vec::with_capacity(bytes));
        Ok(())
    }
}
