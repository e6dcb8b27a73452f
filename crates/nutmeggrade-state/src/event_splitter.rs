//! Splits the bytes of an event stream into complete events.

mod line_scanner;

use bytes::{Bytes, BytesMut};
use nutmeggrade_core::routing::EventPosition;

use self::line_scanner::LineScanner;
use crate::body_end::EndPlace;

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
    scanner: LineScanner,
    last_position: Option<EventPosition>,
    passed: u64,
}

impl EventSplitter {
    /// Creates a splitter for a client that already has the event at `position`, if any.
    pub fn new(position: Option<EventPosition>) -> Self {
        Self { last_position: position, ..Self::default() }
    }

    /// Adds bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let start = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut ends = self.scanner.event_ends(bytes, start);
        if ends.is_empty() && self.partial.len() > MAX_EVENT_BYTES {
            ends.push(self.partial.len());
        }
        let complete = self.partial.split_to(*ends.last()?).freeze();
        let events = self.drop_repeats(complete, &ends);
        (!events.is_empty()).then_some(events)
    }

    /// Drops a buffered partial event, because the stream continues elsewhere.
    pub fn cut(&mut self) {
        self.partial.clear();
        self.scanner = LineScanner::default();
    }

    /// Removes and returns what follows the last event at the end of the stream, unchanged.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Returns where the stream would end if no more bytes arrived.
    ///
    /// Empty lines and comments belong to no event.
    pub fn place(&self) -> EndPlace {
        if self.scanner.is_end_pending() {
            return EndPlace::BetweenEvents;
        }
        let mut lines = self.partial.as_ref().split(|b| matches!(b, b'\n' | b'\r'));
        if lines.any(|line| !line.is_empty() && !line.starts_with(b":")) {
            return EndPlace::WithinEvent;
        }
        EndPlace::BetweenEvents
    }

    /// Returns the number of bytes that belong to no complete event.
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
    fn drop_repeats(&mut self, complete: Bytes, ends: &[usize]) -> Bytes {
        let mut copied: Option<BytesMut> = None;
        let mut start = 0;
        for &end in ends {
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
        copied.map_or(complete, BytesMut::freeze)
    }
}

/// Parses the id of an event.
fn event_id(event: &[u8]) -> Option<EventPosition> {
    let mut lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let line = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok().map(EventPosition)
}
