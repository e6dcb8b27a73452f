//! A stream of a generation's tokens, with the faults that are set.

use std::sync::Arc;

use futures::{Stream, stream};
use nutmeggrade_core::engine::Token;
use nutmeggrade_core::id::GenerationId;
use viz::types::Event as SseEvent;

use super::Engine;

/// One token in this many is followed by one of another generation if streams are crossed.
const CROSS: u64 = 16;

/// What a follower finds at its place.
enum Found {
    Token { token: Token, again: Option<Token> },
    Wait,
    End,
}

impl Engine {
    fn find(&self, id: GenerationId, place: &Place) -> Found {
        let inner = self.lock();
        let after = inner.faults.cut_after.filter(|_| inner.cuts > place.cuts);
        let cut = after.is_some_and(|n| place.sent >= n);
        let stalled = inner.faults.stall_after.filter(|_| inner.cuts > place.cuts);
        if stalled.is_some_and(|n| place.sent >= n) {
            return Found::Wait;
        }
        let Some(answer) = inner.answers.get(&id).filter(|a| !a.lost && !cut) else {
            return Found::End;
        };
        let index = usize::try_from(place.next).unwrap_or(usize::MAX);
        match answer.tokens.get(index) {
            Some(token) => {
                let again = if inner.faults.duplicate == Some(true) {
                    Some(token.clone())
                } else {
                    (inner.faults.cross == Some(true) && place.next % CROSS == 1)
                        .then(|| crossed(token))
                };
                Found::Token { token: token.clone(), again }
            }
            None if answer.tokens.last().is_some_and(|t| t.finish.is_some()) => Found::End,
            None => Found::Wait,
        }
    }
}

/// How far a follower has come.
struct Place {
    next: u64,
    sent: u64,
    cuts: u64,
    again: Option<Token>,
}

/// Follows a generation from an offset; ends early where the engine lost it or a cut is set.
pub(super) fn follow(
    app: Arc<Engine>,
    id: GenerationId,
    from: u64,
) -> impl Stream<Item = SseEvent> + Send {
    let cuts = app.lock().cuts;
    let place = Place { next: from, sent: 0, cuts, again: None };
    stream::unfold((app, place), move |(app, mut place)| async move {
        if let Some(token) = place.again.take() {
            return Some((event(&token), (app, place)));
        }
        loop {
            let changed = app.changed.notified();
            match app.find(id, &place) {
                Found::End => return None,
                Found::Wait => changed.await,
                Found::Token { token, again } => {
                    place.next += 1;
                    place.sent += 1;
                    place.again = again;
                    break Some((event(&token), place));
                }
            }
        }
        .map(|(event, place)| (event, (Arc::clone(&app), place)))
    })
}

/// A token of another generation at a place that fits, as a crossed stream has it.
fn crossed(token: &Token) -> Token {
    let generation = GenerationId::new([0xee; 16]);
    Token { generation, offset: token.offset + 1, text: "crossed ".to_owned(), finish: None }
}

fn event(token: &Token) -> SseEvent {
    SseEvent::default().data(serde_json::to_string(token).unwrap_or_default())
}
