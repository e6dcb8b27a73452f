//! Event streams cut into pieces at every place, and taken up elsewhere.

use nutmeggrade_core::routing::EventPosition;
use nutmeggrade_state::event_splitter::EventSplitter;
use proptest::prelude::*;

use super::play;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// This many bytes of the stream come.
    Bytes(usize),
    /// The stream goes on at another engine, this many events further back than needed.
    TakenUp(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => (1..60_usize).prop_map(Step::Bytes),
        1 => (0..4_u64).prop_map(Step::TakenUp),
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
    let mut at = 0;
    let mut passed: Vec<u8> = Vec::new();
    for step in steps {
        match *step {
            Step::Bytes(count) => {
                let end = (at + count).min(bytes.len());
                passed.extend(splitter.push(&bytes[at..end]).unwrap_or_default());
                at = end;
            }
            Step::TakenUp(back) => {
                let last = splitter.position().map_or(0, |p| p.0);
                splitter.cut();
                bytes = stream((last + 1).saturating_sub(back).max(1));
                at = 0;
            }
        }
        let last = splitter.position().map_or(10, |p| p.0);
        let expected: String = (11..=last).map(event).collect();
        if passed != expected.as_bytes() {
            return Err(format!("not the events 11 to {last}"));
        }
        if splitter.passed() != last - 10 {
            return Err("counted other events than passed".to_owned());
        }
    }
    Ok(())
}

// Bytes come in pieces of any size, engines die anywhere and others begin a little earlier than they
// should. The client gets each event once, whole and in order.
#[test]
fn events_pass_once_whole_and_in_order() {
    play("event streams", step(), run);
}
