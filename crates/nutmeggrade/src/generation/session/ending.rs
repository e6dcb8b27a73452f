//! How a session breaks and ends.

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;

use super::{Ending, Item, Session};
use crate::generation::{Lost, cancel, reconnect};
use crate::node::Phase;
use crate::tables::lock;

/// Attempts to reach the engine again before a stream is given up.
const TRIES: u32 = 6;
/// The same before the first token, when the request can start again elsewhere.
const FIRST_TRIES: u32 = 3;
/// Times that a stream is taken up again without a single new token.
const FRUITLESS: u32 = 8;

impl<P: Platform> Session<P> {
    /// Takes the stream up again at the same engine; returns what to say if that can't be done.
    pub(super) async fn resume(&mut self, reason: &str) -> Option<Item> {
        self.tokens = None;
        let generation = self.delivery.generation();
        let next = self.delivery.next();
        tracing::info!(
            event = "resume",
            request = %self.request,
            endpoint = %self.endpoint,
            %generation,
            next,
            reason
        );
        let why = format!("endpoint={} next={next} {reason}", self.endpoint);
        self.node.note(&self.request, "resume", &why);
        self.fruitless += 1;
        let tries = if next == 0 { FIRST_TRIES } else { TRIES };
        let lost = if self.fruitless > FRUITLESS {
            Lost::Stalled
        } else {
            match reconnect(&self.node, self.address, generation, next, tries, self.deadline).await
            {
                Ok(tokens) => {
                    self.tokens = Some(tokens);
                    self.progress = self.node.now();
                    return None;
                }
                Err(lost) => lost,
            }
        };
        self.ending = (lost == Lost::Gone).then_some(Ending::Lost);
        self.note_crash(lost);
        let failure = Failure::new(Code::StreamLost, "the engine lost the generation");
        Some(self.fail(failure.with_run(Run::Ran)))
    }

    /// Holds a crash against the request, unless the engine was expected to go.
    fn note_crash(&self, lost: Lost) {
        let stays = {
            let table = lock(&self.node.tables.endpoints);
            table.get(&self.endpoint).is_some_and(|e| e.state == EndpointState::Live)
        };
        if let Some(trial) = &self.trial
            && lost.is_crash()
            && stays
        {
            trial.crash(&self.endpoint, self.delivery.next() == 0);
        }
    }

    pub(super) fn fail(&mut self, failure: Failure) -> Item {
        self.ending.get_or_insert(Ending::Told);
        self.code = Some(failure.code);
        if let Some(placement) = &mut self.placement {
            placement.set_end(End::Failed);
        }
        Item::Failed(failure)
    }

    /// Frees the engine's memory once it is sure that nobody reads the answer.
    fn leave(&self) {
        let closing = *self.phase.borrow() >= Phase::Closing;
        if self.delivery.ended() || closing {
            return;
        }
        match self.ending {
            Some(Ending::Lost | Ending::Retried) => {}
            None if self.resumable && self.delivery.next() > 0 => {
                let now = self.node.now();
                let generation = self.delivery.generation();
                lock(&self.node.tables.orphans).leave(generation, self.address, now);
            }
            None | Some(Ending::Told) => self.cancel(),
        }
    }

    pub(super) fn cancel(&self) {
        cancel(&self.node, self.address, self.delivery.generation());
    }
}

impl<P: Platform> Drop for Session<P> {
    fn drop(&mut self) {
        self.node.metrics.streams.dec();
        self.leave();
        // An attempt that gave its trial back goes on as another one.
        if self.ending == Some(Ending::Retried) {
            return;
        }
        let gone = (!self.delivery.ended()).then_some(Code::CallerGone);
        let code = self.code.or(gone).map_or(0, Code::number);
        let detail = format!("endpoint={} tokens={}", self.endpoint, self.delivery.next());
        self.node.note_end(&self.request, self.workspace.as_str(), code, &detail);
    }
}
