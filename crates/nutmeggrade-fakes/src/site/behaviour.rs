//! What an endpoint does with a request.

use std::time::Duration;

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers after a while.
    Slow(Duration),
    /// Says that it did not run it.
    Shed,
    /// Runs it and answers with its own failure.
    Fail,
    /// Runs it and closes the connection without an answer.
    Close,
    /// Closes every connection without an answer, to checks too, and runs nothing.
    Deaf,
    /// Runs it and breaks its answer off in the middle.
    Truncate,
    /// Runs it and sends an answer without a length, ended by the connection.
    Unframed,
    /// Sends an answer without a length and resets the connection in the middle.
    UnframedReset,
    /// Runs it and sends a second answer behind the first.
    Extra,
    /// Answers with the id of another request.
    Crossed,
    /// Answers with a success that carries no signature.
    Unsigned,
    /// Answers before it has read the body.
    Early,
    /// Says that another endpoint has the address.
    Misdirect,
    /// Dies as it begins to run it: closes the connection and accepts no other.
    Crash,
    /// Runs it and never answers.
    Hang,
    /// Sends events with a pause between them.
    Stream {
        /// Events of a whole answer.
        events: u64,
        /// Pause before each event.
        pause: Duration,
    },
    /// Sends events and resets the connection in the middle of the one after them.
    StreamCut {
        /// Whole events that are sent.
        events: u64,
    },
}
