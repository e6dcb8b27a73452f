//! One open response: delivers the tokens of its engine exactly once and in order.

mod ending;
mod opening;

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::engine::Token;
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;
use nutmeggrade_state::delivery::{Delivery, Step};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{Placement, SuspectGuard};
use crate::engine_client::Tokens;
use crate::node::{Node, Phase};

/// Next event of an open response.
#[derive(Debug)]
pub enum SessionEvent {
    /// A token.
    Token(Token),
    /// The generation failed; nothing follows.
    Failed(Failure),
    /// This instance shuts down; the caller resumes at another entry. Nothing follows.
    Moved,
}

/// One open response.
#[derive(Debug)]
pub struct Session<P: Platform> {
    node: Arc<Node<P>>,
    placement: Option<Placement<P>>,
    suspect_guard: Option<SuspectGuard<P>>,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Request id in logs.
    pub request: RequestId,
    /// Model that generates.
    pub model: ModelId,
    endpoint: EndpointId,
    address: SocketAddr,
    delivery: Delivery,
    tokens: Option<Tokens>,
    pending_event: Option<SessionEvent>,
    deadline: Moment,
    phase: watch::Receiver<Phase>,
    last_progress: Moment,
    idle_resumes: u32,
    resumable: bool,
    ending: Option<Ending>,
    code: Option<Code>,
}

/// Why a session ended before its last token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The failure or the move was reported to the caller.
    LastReport,
    /// The engine no longer has the generation.
    GenerationLost,
    /// The request continues in another attempt.
    Retried,
}

/// Result of waiting for a token.
enum Input {
    Token(Token),
    Broken(String),
    DeadlinePassed,
    Closing,
}

impl<P: Platform> Session<P> {
    /// Returns the generation's id.
    pub fn generation(&self) -> GenerationId {
        self.delivery.generation()
    }

    /// Returns the authenticated event id of a token.
    pub fn event_id(&self, token: &Token) -> String {
        let id = EventId::new(self.endpoint.clone(), token.generation, token.offset);
        id.with_last(token.finish.is_some()).seal(&self.workspace, &self.node.event_key)
    }

    /// Returns the instance that serves this response.
    pub fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Waits for the first token, which [`Session::next`] then returns; a failure before it returns
    /// the suspect guard for another attempt.
    pub async fn wait_first_token(mut self) -> Result<Self, (Failure, SuspectGuard<P>)> {
        match self.next().await {
            Some(SessionEvent::Failed(failure)) if self.suspect_guard.is_some() => {
                match self.suspect_guard.take() {
                    Some(suspect_guard) => {
                        if self.ending != Some(Ending::GenerationLost) {
                            self.cancel();
                        }
                        self.ending = Some(Ending::Retried);
                        Err((failure, suspect_guard))
                    }
                    None => Ok(self),
                }
            }
            event => {
                self.pending_event = event;
                Ok(self)
            }
        }
    }

    /// Waits for the next event; returns `None` after the last token or after a failure.
    pub async fn next(&mut self) -> Option<SessionEvent> {
        if let Some(event) = self.pending_event.take() {
            return Some(event);
        }
        if self.ending.is_some() || self.delivery.ended() {
            return None;
        }
        loop {
            match self.read_token().await {
                Input::Token(token) => match self.delivery.accept(&token) {
                    Step::Deliver => return Some(self.deliver(token)),
                    Step::Repeat => {
                        self.node.metrics.repeats.inc();
                        self.last_progress = self.node.now();
                    }
                    // Not counted as progress, so that a stream of only such tokens is stalled.
                    Step::Foreign => self.node.metrics.foreign.inc(),
                    Step::Gap => {
                        if let Some(event) = self.resume("tokens are missing").await {
                            return Some(event);
                        }
                    }
                },
                Input::Broken(reason) => {
                    if let Some(event) = self.resume(&reason).await {
                        return Some(event);
                    }
                }
                Input::DeadlinePassed => {
                    let failure = Failure::new(Code::DeadlinePassed, "the deadline passed");
                    return Some(self.fail(failure.with_run(RunStatus::Ran)));
                }
                Input::Closing => {
                    self.ending = Some(Ending::LastReport);
                    self.code = Some(Code::Leaving);
                    return Some(SessionEvent::Moved);
                }
            }
        }
    }

    /// Waits for a token. The deadline and the shutdown are polled first: an engine that repeats
    /// old tokens without end would otherwise keep the response open forever.
    async fn read_token(&mut self) -> Input {
        let Some(tokens) = self.tokens.as_mut() else { return Input::Broken("cut".to_owned()) };
        let now = self.node.now();
        let remaining = self.deadline.since(now);
        let stall = self.node.settings.stall.saturating_sub(now.since(self.last_progress));
        tokio::select! {
            biased;
            () = sleep(remaining) => Input::DeadlinePassed,
            _ = self.phase.wait_for(|p| *p >= Phase::Closing) => Input::Closing,
            token = timeout(stall, tokens.next()) => match token {
                Ok(Ok(Some(token))) => Input::Token(token),
                Ok(Ok(None)) => Input::Broken("stream ended early".to_owned()),
                Ok(Err(error)) => Input::Broken(format!("{error:#}")),
                Err(_) => Input::Broken("stalled".to_owned()),
            },
        }
    }

    fn deliver(&mut self, token: Token) -> SessionEvent {
        self.node.metrics.tokens.inc();
        self.idle_resumes = 0;
        if token.offset == 0
            && let Some(placement) = &self.placement
        {
            placement.slot.record_first_token();
        }
        self.last_progress = self.node.now();
        if let Some(suspect_guard) = &self.suspect_guard
            && (token.offset == 0 || token.finish.is_some())
        {
            suspect_guard.clear(token.finish.is_some());
        }
        if let Some(placement) = &mut self.placement {
            placement.record_token();
            if token.finish.is_some() {
                placement.set_end(End::Finished);
            }
        }
        SessionEvent::Token(token)
    }
}
