//! How a simulated endpoint handles requests.

use std::time::Duration;

use super::stream_end::StreamEnd;

/// How a simulated endpoint handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes the request and responds.
    Answer,
    /// Executes the request and responds after a delay.
    Slow(Duration),
    /// Vanishes after the head of a request with a large body, and acknowledges nothing more.
    Vanish,
    /// Responds with 503 and the header that confirms that the request was not executed.
    Shed,
    /// Executes the request and responds with a signed 500.
    Fail,
    /// Executes the request and closes the connection without a response.
    Close,
    /// Closes every connection without a response, also for health checks, and executes nothing.
    CloseAll,
    /// Executes the request and truncates the response.
    Truncate,
    /// Executes the request and sends a response without a length, delimited by the connection's end.
    CloseDelimited,
    /// Sends a response of this many bytes without a length, in chunks or ended by the connection.
    Large {
        /// Size of the body.
        bytes: usize,
        /// Whether it comes in chunks.
        is_chunked: bool,
    },
    /// Sends this many bytes of a response without a length, crashes once ends aren't held, and closes the
    /// connection in order.
    CrashWithin(usize),
    /// Sends part of a response without a length and resets the connection.
    CloseDelimitedReset,
    /// Executes the request and sends the response twice.
    ExtraResponse,
    /// Responds with the attempt id of another request.
    WrongAttemptId,
    /// Responds with a success that has no signature.
    Unsigned,
    /// Responds with 400 before it has read the request body.
    EarlyResponse,
    /// Responds with 421, as if the address belonged to another endpoint.
    Misdirect,
    /// Crashes when it starts the request: closes the connection and accepts no other.
    Crash,
    /// Executes the request, sends this text and closes the connection. `{id}` stands for the id of the
    /// attempt.
    Raw(&'static str),
    /// Executes the request, sends this text and as many bytes, and never completes the response.
    RawStall(&'static str, usize),
    /// Executes the request and sends a part of a response again and again until the connection is
    /// closed.
    Endless {
        /// What is sent first; `{id}` stands for the id of the attempt.
        beginning: &'static str,
        /// What is repeated.
        part: &'static str,
    },
    /// Runs a generation that never ends, as an engine of the own interface, with tokens of this many
    /// bytes.
    EndlessTokens(usize),
    /// Executes the request and never responds.
    Hang,
    /// Streams events with a pause before each.
    Stream {
        /// Number of events in the complete stream.
        events: u64,
        /// Pause before each event.
        pause: Duration,
    },
    /// Sends nothing for a time, then streams events.
    LateStream {
        /// Time before the head of the response.
        delay: Duration,
        /// Number of events in the complete stream.
        events: u64,
    },
    /// Streams events and resets the connection within the next one.
    StreamCut {
        /// Number of complete events that are sent.
        events: u64,
    },
    /// Streams events and a rest, and ends the stream.
    StreamPart {
        /// Number of complete events that are sent.
        events: u64,
        /// What is sent after the complete events.
        rest: &'static str,
        /// How the stream ends.
        end: StreamEnd,
    },
}
