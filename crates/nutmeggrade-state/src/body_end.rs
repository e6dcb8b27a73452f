//! Judges from the end of an event stream's bytes whether the stream is complete.

use nutmeggrade_core::prelude::*;

/// How the bytes of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BytesEnd {
    /// At the declared end, or with a connection that was closed in order where none is declared.
    Closed,
    /// Before the declared end, or with a connection that was reset or timed out.
    Broken,
}

/// Where the bytes of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndPlace {
    /// Within an event.
    WithinEvent,
    /// Where all events are complete.
    BetweenEvents,
    /// Before the first event.
    BeforeEvents,
}

/// Whether a stream is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// All of it arrived.
    Complete,
    /// Its end is missing.
    Truncated(Truncation),
    /// Its bytes don't tell: the connection that was closed is their only end.
    Undeclared,
}

/// Why a stream counts as truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Truncation {
    /// Its connection broke.
    ConnectionBroke,
    /// It ended within an event.
    PartialEvent,
    /// It ended before its first event.
    NoEvent,
    /// Its endpoint refuses connections since its end.
    EndpointGone,
}

impl Truncation {
    /// Returns the text used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "connection broke",
            Self::PartialEvent => "ended within an event",
            Self::NoEvent => "ended before its first event",
            Self::EndpointGone => "ended as its endpoint went",
        }
    }
}

/// Judges whether a stream is complete.
///
/// A crash closes the connections of a process in order. If a stream states its end in no other
/// way, the close alone doesn't show that it is complete. A generation begins with its first event, so
/// a stream that is closed before it isn't complete.
pub const fn judge(framing: BodyFraming, end: BytesEnd, place: EndPlace) -> Completeness {
    match (end, place) {
        (BytesEnd::Broken, _) => Completeness::Truncated(Truncation::ConnectionBroke),
        (BytesEnd::Closed, EndPlace::WithinEvent) => {
            Completeness::Truncated(Truncation::PartialEvent)
        }
        (BytesEnd::Closed, _) if framing.is_declared() => Completeness::Complete,
        (BytesEnd::Closed, EndPlace::BeforeEvents) => Completeness::Truncated(Truncation::NoEvent),
        (BytesEnd::Closed, EndPlace::BetweenEvents) => Completeness::Undeclared,
    }
}

/// Judges whether a stream is complete whose bytes don't tell, from whether its endpoint refuses
/// connections right after its end.
///
/// A process that goes closes all its sockets in the same moment. A leaving endpoint too: it stays
/// for a time that doesn't depend on its last stream.
pub const fn judge_undeclared(refuses_connections: bool) -> Completeness {
    if refuses_connections {
        Completeness::Truncated(Truncation::EndpointGone)
    } else {
        Completeness::Complete
    }
}
