//! Resumption, failure and end of a session.

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;

use super::{Ending, Session, SessionEvent};
use crate::generation::{ReconnectError, cancel, reconnect};
use crate::node::Phase;
use crate::tables::lock;

/// Reconnect attempts before a stream fails.
const MAX_RECONNECTS: u32 = 6;
/// Reconnect attempts before the first token, when the request can be retried on another engine.
const MAX_FIRST_TOKEN_RECONNECTS: u32 = 3;
/// Maximum consecutive resumptions without a new token.
const MAX_IDLE_RESUMES: u32 = 8;

impl<P: Platform> Session<P> {
    /// Resumes the stream at the same engine; returns the failure event if that is impossible.
    pub(super) async fn resume(&mut self, reason: &str) -> Option<SessionEvent> {
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
        let detail = format!("endpoint={} next={next} {reason}", self.endpoint);
        self.node.record_step(&self.request, "resume", &detail);
        self.idle_resumes += 1;
        let max_attempts = if next == 0 { MAX_FIRST_TOKEN_RECONNECTS } else { MAX_RECONNECTS };
        let error = if self.idle_resumes > MAX_IDLE_RESUMES {
            ReconnectError::Stalled
        } else {
            match reconnect(&self.node, self.address, generation, next, max_attempts, self.deadline)
                .await
            {
                Ok(tokens) => {
                    self.tokens = Some(tokens);
                    self.last_progress = self.node.now();
                    return None;
                }
                Err(error) => error,
            }
        };
        self.ending = (error == ReconnectError::Gone).then_some(Ending::GenerationLost);
        self.record_crash(error);
        let failure = Failure::new(Code::StreamLost, "the engine lost the generation");
        Some(self.fail(failure.with_run(RunStatus::Ran)))
    }

    /// Records an engine crash for the request, unless the engine was leaving service.
    fn record_crash(&self, error: ReconnectError) {
        let was_live = {
            let table = lock(&self.node.tables.endpoints);
            table.get(&self.endpoint).is_some_and(|e| e.state == EndpointState::Live)
        };
        if let Some(suspect_guard) = &self.suspect_guard
            && error.is_crash()
            && was_live
        {
            suspect_guard.record_crash(&self.endpoint, self.delivery.next() == 0);
        }
    }

    pub(super) fn fail(&mut self, failure: Failure) -> SessionEvent {
        self.ending.get_or_insert(Ending::LastReport);
        self.code = Some(failure.code);
        if let Some(placement) = &mut self.placement {
            placement.set_end(End::Failed);
        }
        SessionEvent::Failed(failure)
    }

    /// Frees the engine's memory: cancels a generation that can't be resumed, and leaves one that
    /// can to the orphan task.
    fn release_engine(&self) {
        let is_closing = *self.phase.borrow() >= Phase::Closing;
        if self.delivery.ended() || is_closing {
            return;
        }
        match self.ending {
            Some(Ending::GenerationLost | Ending::Retried) => {}
            None if self.resumable && self.delivery.next() > 0 => {
                let now = self.node.now();
                let generation = self.delivery.generation();
                lock(&self.node.tables.orphans).leave(generation, self.address, now);
            }
            None | Some(Ending::LastReport) => self.cancel(),
        }
    }

    pub(super) fn cancel(&self) {
        cancel(&self.node, self.address, self.delivery.generation());
    }
}

impl<P: Platform> Drop for Session<P> {
    fn drop(&mut self) {
        self.node.metrics.streams.dec();
        self.release_engine();
        // The request continues in another attempt, which logs its end.
        if self.ending == Some(Ending::Retried) {
            return;
        }
        let early_code = (!self.delivery.ended()).then_some(Code::CallerGone);
        let code = self.code.or(early_code).map_or(0, Code::number);
        let detail = format!("endpoint={} tokens={}", self.endpoint, self.delivery.next());
        self.node.record_end(&self.request, self.workspace.as_str(), code, &detail);
    }
}
