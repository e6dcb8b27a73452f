//! Splits the bytes of an event stream into complete events.

mod large_event;
mod line_scanner;

use bytes::{Bytes, BytesMut};
use nutmeggrade_core::routing::EventPosition;

use self::large_event::LargeEvent;
use self::line_scanner::LineScanner;
use crate::body_end::EndPlace;

/// Maximum size of an event that is buffered, in bytes; longer ones are passed on in pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

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
    large: Option<LargeEvent>,
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
        let ends = self.scanner.event_ends(bytes, start);
        let events = match ends.last() {
            Some(end) => {
                let complete = self.partial.split_to(*end).freeze();
                self.drop_repeats(complete, &ends)
            }
            None if self.large.is_some() || self.partial.len() > MAX_EVENT_BYTES => {
                return self.take_piece();
            }
            None => return None,
        };
        (!events.is_empty()).then_some(events)
    }

    /// Drops a buffered partial event, because the stream continues elsewhere.
    pub fn cut(&mut self) {
        self.partial.clear();
        self.large = None;
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
        if self.large.is_some() {
            return EndPlace::WithinEvent;
        }
        let mut lines = self.partial.as_ref().split(|b| matches!(b, b'\n' | b'\r'));
        if lines.any(|line| !line.is_empty() && !line.starts_with(b":")) {
            return EndPlace::WithinEvent;
        }
        if self.passed == 0 && self.last_position.is_none() {
            return EndPlace::BeforeEvents;
        }
        EndPlace::BetweenEvents
    }

    /// Returns whether another run can continue the stream behind its last complete event. It can't
    /// while the client has a part of the next one.
    pub fn can_continue(&self) -> bool {
        self.large.is_none_or(|large| large.is_repeat)
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
            let large = self.large.take();
            let id = large.and_then(|l| l.id).or_else(|| event_id(event));
            if large.map_or_else(|| self.is_repeat(id), |l| l.is_repeat) {
                // From the first duplicate on, the remaining events are copied one by one.
                copied.get_or_insert_with(|| BytesMut::from(&complete[..start]));
            } else {
                self.last_position = id.or(self.last_position);
                self.passed += 1;
                if let Some(copied) = &mut copied {
                    copied.extend_from_slice(event);
                }
            }
            start = end;
        }
        copied.map_or(complete, BytesMut::freeze)
    }

    /// Removes what is buffered of an event, and returns it unless the event is a repeat. From then on
    /// the event is passed on in pieces, so that no other run can continue the stream before its end.
    pub fn take_piece(&mut self) -> Option<Bytes> {
        let piece = self.partial.split().freeze();
        let large = self.large.unwrap_or_else(|| {
            let id = event_id(&piece);
            LargeEvent { id, is_repeat: self.is_repeat(id) }
        });
        self.large = Some(large);
        (!large.is_repeat && !piece.is_empty()).then_some(piece)
    }

    fn is_repeat(&self, id: Option<EventPosition>) -> bool {
        id.zip(self.last_position).is_some_and(|(id, last)| id <= last)
    }
}

/// Parses the id of an event.
fn event_id(event: &[u8]) -> Option<EventPosition> {
    let mut lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let line = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok().map(EventPosition)
}
