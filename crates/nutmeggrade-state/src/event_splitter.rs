//! Cuts the bytes of an event stream into whole events.

use bytes::{Buf, Bytes, BytesMut};
use nutmeggrade_core::routing::EventPosition;

/// Largest event that is kept together; longer ones are passed on in pieces.
const MAX_EVENT: usize = 1 << 20;

/// Cuts the bytes of an event stream into whole events and follows their ids.
///
/// An engine may die in the middle of an event. If its half is passed on and the stream goes on at
/// another engine, the client reads one event made of two halves. Only whole events are passed on,
/// exactly as they came, so that at any moment another engine can go on behind the last one. Events
/// that were passed on before, which an engine may make again, are dropped.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last: Option<EventPosition>,
    passed: u64,
}

impl EventSplitter {
    /// Makes a splitter for a client that has the event at `position`, if any.
    pub fn new(position: Option<EventPosition>) -> Self {
        Self { rest: BytesMut::new(), last: position, passed: 0 }
    }

    /// Takes bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = last_boundary(&self.rest)
            .or((self.rest.len() > MAX_EVENT).then_some(self.rest.len()))?;
        let whole = self.rest.split_to(end).freeze();
        let fresh = self.fresh(&whole);
        (!fresh.is_empty()).then_some(fresh)
    }

    /// Forgets the part of an event that has come, because the stream goes on elsewhere.
    pub fn cut(&mut self) {
        self.rest.clear();
    }

    /// Returns the part of an event that the stream ended with, exactly as it came.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        (!self.rest.is_empty()).then(|| self.rest.split().freeze())
    }

    /// Returns the last event that was passed on.
    pub const fn position(&self) -> Option<EventPosition> {
        self.last
    }

    /// Returns how many events were passed on.
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Leaves out events that were passed on before, and notes the others.
    fn fresh(&mut self, whole: &Bytes) -> Bytes {
        let mut start = 0;
        let mut kept = whole.clone();
        let mut out: Option<BytesMut> = None;
        while start < whole.len() {
            let end = first_boundary(&whole[start..]).map_or(whole.len(), |e| start + e);
            let event = &whole[start..end];
            match event_id(event) {
                Some(id) if self.last.is_some_and(|last| id <= last) => {
                    // From the first repeat on, what is kept is copied event by event.
                    out.get_or_insert_with(|| BytesMut::from(&whole[..start]));
                }
                id => {
                    self.last = id.or(self.last);
                    self.passed += 1;
                    if let Some(out) = &mut out {
                        out.extend_from_slice(event);
                    }
                }
            }
            start = end;
        }
        if let Some(mut out) = out {
            kept = out.copy_to_bytes(out.len());
        }
        kept
    }
}

/// Returns where the first event ends.
fn first_boundary(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| boundary_at(bytes, at))
}

/// Returns where the last whole event ends.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| boundary_at(bytes, at))
}

/// Returns where an event ends if the empty line behind it begins at `at`.
fn boundary_at(bytes: &[u8], at: usize) -> Option<usize> {
    let tail = &bytes[at..];
    if tail.starts_with(b"\n\n") {
        return Some(at + 2);
    }
    tail.starts_with(b"\n\r\n").then_some(at + 3)
}

/// Reads the id of an event.
fn event_id(event: &[u8]) -> Option<EventPosition> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok().map(EventPosition)
}
