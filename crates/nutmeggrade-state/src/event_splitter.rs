//! Splits the bytes of an event stream into complete events.

use bytes::{Buf, Bytes, BytesMut};
use nutmeggrade_core::routing::EventPosition;

/// Maximum size of an event that is buffered, in bytes; longer ones are passed on in pieces.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits the bytes of an event stream into complete events and tracks their ids.
///
/// An engine may die in the middle of an event. If a partial event were passed on and the stream
/// continued at another engine, the client would read one event made of two halves. Only complete
/// events are passed on, unchanged, so that another engine can continue after the last one at any
/// time. Events that were already passed on, which an engine may generate again, are dropped.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_position: Option<EventPosition>,
    passed: u64,
}

impl EventSplitter {
    /// Creates a splitter for a client that already has the event at `position`, if any.
    pub fn new(position: Option<EventPosition>) -> Self {
        Self { partial: BytesMut::new(), last_position: position, passed: 0 }
    }

    /// Adds bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_boundary(&self.partial)
            .or((self.partial.len() > MAX_EVENT_BYTES).then_some(self.partial.len()))?;
        let complete = self.partial.split_to(end).freeze();
        let events = self.drop_repeats(&complete);
        (!events.is_empty()).then_some(events)
    }

    /// Drops a buffered partial event, because the stream continues elsewhere.
    pub fn cut(&mut self) {
        self.partial.clear();
    }

    /// Removes and returns the buffered partial event at the end of the stream, unchanged.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Returns the size of the buffered partial event in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the id of the last event that was passed on.
    pub const fn position(&self) -> Option<EventPosition> {
        self.last_position
    }

    /// Returns the number of events that were passed on.
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Removes events that were already passed on, and records the others as passed on.
    fn drop_repeats(&mut self, complete: &Bytes) -> Bytes {
        let mut start = 0;
        let mut events = complete.clone();
        let mut copied: Option<BytesMut> = None;
        while start < complete.len() {
            let end = first_boundary(&complete[start..]).map_or(complete.len(), |e| start + e);
            let event = &complete[start..end];
            match event_id(event) {
                Some(id) if self.last_position.is_some_and(|last| id <= last) => {
                    // From the first duplicate on, the remaining events are copied one by one.
                    copied.get_or_insert_with(|| BytesMut::from(&complete[..start]));
                }
                id => {
                    self.last_position = id.or(self.last_position);
                    self.passed += 1;
                    if let Some(copied) = &mut copied {
                        copied.extend_from_slice(event);
                    }
                }
            }
            start = end;
        }
        if let Some(mut copied) = copied {
            events = copied.copy_to_bytes(copied.len());
        }
        events
    }
}

/// Returns the end of the first event.
fn first_boundary(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| boundary_at(bytes, at))
}

/// Returns the end of the last complete event.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| boundary_at(bytes, at))
}

/// Returns the end of an event if the empty line that terminates it starts at `at`.
fn boundary_at(bytes: &[u8], at: usize) -> Option<usize> {
    let tail = &bytes[at..];
    if tail.starts_with(b"\n\n") {
        return Some(at + 2);
    }
    tail.starts_with(b"\n\r\n").then_some(at + 3)
}

/// Parses the id of an event.
fn event_id(event: &[u8]) -> Option<EventPosition> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok().map(EventPosition)
}
