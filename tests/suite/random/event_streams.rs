//! Model test of event streams that are split at any byte and resumed at other engines.

use nutmeggrade_core::routing::EventPosition;
use nutmeggrade_state::event_splitter::EventSplitter;
use proptest::prelude::*;

use super::play;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// This many bytes of the stream arrive.
    Bytes(usize),
    /// The stream resumes at another engine, this many events earlier than needed.
    Resumed(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => (1..60_usize).prop_map(Step::Bytes),
        1 => (0..4_u64).prop_map(Step::Resumed),
    ]
}

fn event(id: u64) -> String {
    let ending = if id.is_multiple_of(3) { "\r\n\r\n" } else { "\n\n" };
    let middle = if id.is_multiple_of(3) { "\r\n" } else { "\n" };
    format!("id: {id}{middle}data: text of {id}{ending}")
}

fn stream(from: u64) -> Vec<u8> {
    (from..from + 400).map(event).collect::<String>().into_bytes()
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut splitter = EventSplitter::new(Some(EventPosition(10)));
    let mut bytes = stream(11);
    let mut offset = 0;
    let mut delivered: Vec<u8> = Vec::new();
    for step in steps {
        match *step {
            Step::Bytes(count) => {
                let end = (offset + count).min(bytes.len());
                delivered.extend(splitter.push(&bytes[offset..end]).unwrap_or_default());
                offset = end;
            }
            Step::Resumed(overlap) => {
                let last = splitter.position().map_or(0, |p| p.0);
                splitter.cut();
                bytes = stream((last + 1).saturating_sub(overlap).max(1));
                offset = 0;
            }
        }
        let last = splitter.position().map_or(10, |p| p.0);
        let expected: String = (11..=last).map(event).collect();
        if delivered != expected.as_bytes() {
            return Err(format!("delivered bytes are not events 11 to {last}"));
        }
        if splitter.passed() != last - 10 {
            return Err("event count differs from the delivered events".to_owned());
        }
    }
    Ok(())
}

// Guards against lost, repeated or truncated events. Bytes arrive in pieces of any size, engines
// die at any byte, and their replacements start a few events too early.
#[test]
fn events_pass_once_whole_and_in_order() {
    play("event streams", step(), run);
}
