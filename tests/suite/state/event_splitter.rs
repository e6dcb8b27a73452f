//! Events that are too large to be buffered.

use nutmeggrade_core::routing::EventPosition;
use nutmeggrade_state::body_end::EndPlace;
use nutmeggrade_state::event_splitter::EventSplitter;
use rstest::rstest;

/// Larger than the largest event that is buffered.
const LARGE: usize = 3 << 20;
const PIECE: usize = 300_000;

/// Pushes an event of [`LARGE`] bytes without its end; returns what is passed on.
fn push_large(splitter: &mut EventSplitter, id: u64) -> Vec<u8> {
    let event = format!("id: {id}\ndata: {}", "x".repeat(LARGE));
    event.as_bytes().chunks(PIECE).filter_map(|piece| splitter.push(piece)).flatten().collect()
}

// An event that is passed on in pieces and never finished looks like the end of a complete stream.
#[rstest]
fn unfinished_large_event_is_partial() {
    let mut splitter = EventSplitter::new(Some(EventPosition(4)));
    let passed = push_large(&mut splitter, 5);
    assert!(passed.len() > LARGE);
    assert_eq!(splitter.place(), EndPlace::WithinEvent);
    assert_eq!((splitter.position(), splitter.passed()), (Some(EventPosition(4)), 0));
    assert!(!splitter.can_continue());
}

// A large event counts several times, or its end is taken for an event of its own.
#[rstest]
fn finished_large_event_counts_once() {
    let mut splitter = EventSplitter::new(Some(EventPosition(4)));
    let mut passed = push_large(&mut splitter, 5);
    passed.extend(splitter.push(b"\n\nid: 6\ndata: y\n\n").unwrap_or_default());
    assert!(
        passed == format!("id: 5\ndata: {}\n\nid: 6\ndata: y\n\n", "x".repeat(LARGE)).as_bytes()
    );
    assert_eq!((splitter.position(), splitter.passed()), (Some(EventPosition(6)), 2));
    assert_eq!(splitter.place(), EndPlace::BetweenEvents);
    assert!(splitter.can_continue());
}

// The later pieces of a large event that the client already has are passed on.
#[rstest]
fn repeated_large_event_is_dropped() {
    let mut splitter = EventSplitter::new(Some(EventPosition(5)));
    let mut passed = push_large(&mut splitter, 5);
    assert!(splitter.can_continue());
    passed.extend(splitter.push(b"\n\nid: 6\ndata: y\n\n").unwrap_or_default());
    assert!(passed == b"id: 6\ndata: y\n\n");
    assert_eq!((splitter.position(), splitter.passed()), (Some(EventPosition(6)), 1));
}
