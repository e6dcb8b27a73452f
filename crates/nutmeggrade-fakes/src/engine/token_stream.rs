//! The token stream of a generation, with injected faults.

use std::sync::Arc;

use futures::{Stream, stream};
use nutmeggrade_core::engine::Token;
use nutmeggrade_core::id::GenerationId;
use viz::types::Event as SseEvent;

use super::Engine;

/// One token in this many is followed by a token of another generation if `cross` is set.
const CROSS_INTERVAL: u64 = 16;

/// Result of reading the token at a cursor.
enum NextToken {
    Token { token: Token, injected: Option<Token> },
    Pending,
    End,
}

impl Engine {
    fn next_token(&self, id: GenerationId, cursor: &Cursor) -> NextToken {
        let inner = self.lock();
        let close_after = inner.faults.cut_after.filter(|_| inner.cut_count > cursor.cut_count);
        let closed = close_after.is_some_and(|n| cursor.sent >= n);
        let stalled = inner.faults.stall_after.filter(|_| inner.cut_count > cursor.cut_count);
        if stalled.is_some_and(|n| cursor.sent >= n) {
            return NextToken::Pending;
        }
        let Some(output) = inner.outputs.get(&id).filter(|a| !a.lost && !closed) else {
            return NextToken::End;
        };
        let index = usize::try_from(cursor.offset).unwrap_or(usize::MAX);
        match output.tokens.get(index) {
            Some(token) => {
                let injected = if inner.faults.duplicate == Some(true) {
                    Some(token.clone())
                } else {
                    (inner.faults.cross == Some(true) && cursor.offset % CROSS_INTERVAL == 1)
                        .then(|| foreign_token(token))
                };
                NextToken::Token { token: token.clone(), injected }
            }
            None if output.tokens.last().is_some_and(|t| t.finish.is_some()) => NextToken::End,
            None => NextToken::Pending,
        }
    }
}

/// Progress of one token stream.
struct Cursor {
    offset: u64,
    sent: u64,
    cut_count: u64,
    injected: Option<Token>,
}

/// Streams a generation's tokens from an offset; ends early after a crash or an injected cut.
pub(super) fn token_stream(
    engine: Arc<Engine>,
    id: GenerationId,
    from: u64,
) -> impl Stream<Item = SseEvent> + Send {
    let cut_count = engine.lock().cut_count;
    let cursor = Cursor { offset: from, sent: 0, cut_count, injected: None };
    stream::unfold((engine, cursor), move |(engine, mut cursor)| async move {
        if let Some(token) = cursor.injected.take() {
            return Some((sse_event(&token), (engine, cursor)));
        }
        loop {
            let changed = engine.changed.notified();
            match engine.next_token(id, &cursor) {
                NextToken::End => return None,
                NextToken::Pending => changed.await,
                NextToken::Token { token, injected } => {
                    cursor.offset += 1;
                    cursor.sent += 1;
                    cursor.injected = injected;
                    break Some((sse_event(&token), cursor));
                }
            }
        }
        .map(|(event, cursor)| (event, (Arc::clone(&engine), cursor)))
    })
}

/// Builds a token of another generation at the next offset, as a mixed-up stream would contain.
fn foreign_token(token: &Token) -> Token {
    let generation = GenerationId::new([0xee; 16]);
    Token { generation, offset: token.offset + 1, text: "crossed ".to_owned(), finish: None }
}

fn sse_event(token: &Token) -> SseEvent {
    SseEvent::default().data(serde_json::to_string(token).unwrap_or_default())
}
