//! Judgement of the ends of streams.

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::body_end::{BytesEnd, Completeness, EndPlace, Truncation, judge};
use nutmeggrade_state::event_splitter::EventSplitter;
use rstest::rstest;

const TRUNCATED: Completeness = Completeness::Truncated(Truncation::PartialEvent);
const EMPTY: Completeness = Completeness::Truncated(Truncation::NoEvent);
const BROKE: Completeness = Completeness::Truncated(Truncation::ConnectionBroke);
const FRAMINGS: [BodyFraming; 3] =
    [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::Connection];

// A stream is taken for complete though its connection broke or its last event is partial.
#[rstest]
fn truncated_streams_are_not_complete() {
    for framing in FRAMINGS {
        for place in [EndPlace::WithinEvent, EndPlace::BetweenEvents, EndPlace::BeforeEvents] {
            assert_eq!(judge(framing, BytesEnd::Broken, place), BROKE);
        }
        assert_eq!(judge(framing, BytesEnd::Closed, EndPlace::WithinEvent), TRUNCATED);
        let is_declared = framing != BodyFraming::Connection;
        let expected = if is_declared { Completeness::Complete } else { Completeness::Undeclared };
        assert_eq!(judge(framing, BytesEnd::Closed, EndPlace::BetweenEvents), expected);
        let expected = if is_declared { Completeness::Complete } else { EMPTY };
        assert_eq!(judge(framing, BytesEnd::Closed, EndPlace::BeforeEvents), expected);
    }
}

/// Returns a stream with a comment, and the ends of its events as the event-stream format has them.
fn stream(line_end: &str) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let mut ends = vec![0];
    for id in 1..=6 {
        bytes.extend(format!("id: {id}{line_end}data: text of {id}{line_end}").into_bytes());
        bytes.extend(line_end.as_bytes());
        ends.push(bytes.len());
        if id == 3 {
            bytes.extend(format!(": still here{line_end}").into_bytes());
        }
    }
    (bytes, ends)
}

/// Returns whether a part of an event follows the last complete one.
fn has_partial_event(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n").replace('\r', "\n");
    let rest = text.rsplit_once("\n\n").map_or(text.as_str(), |(_, rest)| rest);
    rest.lines().any(|line| !line.is_empty() && !line.starts_with(':'))
}

/// Cuts a stream at every byte and splits its bytes in every way. The client must get complete
/// events only, and the place of the cut must be told.
fn cut_anywhere(line_end: &str) {
    let (bytes, ends) = stream(line_end);
    for cut in 0..=bytes.len() {
        for piece in [1, 2, 3, 5, 17, 64, bytes.len()] {
            let mut splitter = EventSplitter::new(None);
            let mut delivered = Vec::new();
            for part in bytes[..cut].chunks(piece) {
                delivered.extend(splitter.push(part).unwrap_or_default());
            }
            assert!(bytes.starts_with(&delivered), "cut {cut} piece {piece}");
            let is_partial = has_partial_event(&bytes[..cut]);
            let place = match (is_partial, cut) {
                (true, _) => EndPlace::WithinEvent,
                (false, 0) => EndPlace::BeforeEvents,
                (false, _) => EndPlace::BetweenEvents,
            };
            assert_eq!(splitter.place(), place, "cut {cut} piece {piece}");
            if is_partial {
                let complete = ends.iter().rfind(|end| **end <= cut).copied().unwrap_or_default();
                assert_eq!(delivered.len(), complete, "cut {cut} piece {piece}");
            } else {
                delivered.extend(splitter.take_rest().unwrap_or_default());
                assert_eq!(delivered, bytes[..cut], "cut {cut} piece {piece}");
            }
        }
    }
}

// A stream that is cut within an event looks complete, or its events are split, lost or repeated.
cases! {cut_anywhere {
    line_feeds: "\n";
    returns: "\r";
    both: "\r\n";
}}
