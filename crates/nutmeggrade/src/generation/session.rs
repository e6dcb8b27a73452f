//! One open answer: tokens from its engine, once and in order.

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

use super::{Placement, Trial};
use crate::engine_client::Tokens;
use crate::node::{Node, Phase};

/// What comes next in an open answer.
#[derive(Debug)]
pub enum Item {
    /// A token.
    Token(Token),
    /// The answer broke; nothing follows.
    Failed(Failure),
    /// This instance stops; the caller resumes at another entry. Nothing follows.
    Moved,
}

/// One open answer.
#[derive(Debug)]
pub struct Session<P: Platform> {
    node: Arc<Node<P>>,
    placement: Option<Placement<P>>,
    trial: Option<Trial<P>>,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// The request's id in logs.
    pub request: RequestId,
    /// The model that answers.
    pub model: ModelId,
    endpoint: EndpointId,
    address: SocketAddr,
    delivery: Delivery,
    tokens: Option<Tokens>,
    held: Option<Item>,
    deadline: Moment,
    phase: watch::Receiver<Phase>,
    progress: Moment,
    fruitless: u32,
    resumable: bool,
    ending: Option<Ending>,
    code: Option<Code>,
}

/// How a session ended without the whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The caller was told.
    Told,
    /// The engine no longer has the generation.
    Lost,
    /// The request goes on as another attempt.
    Retried,
}

enum Pulled {
    Token(Token),
    Broken(String),
    Late,
    Closing,
}

impl<P: Platform> Session<P> {
    /// Returns the generation.
    pub fn generation(&self) -> GenerationId {
        self.delivery.generation()
    }

    /// Returns the authenticated event id of a token.
    pub fn event_id(&self, token: &Token) -> String {
        let id = EventId::new(self.endpoint.clone(), token.generation, token.offset);
        id.with_last(token.finish.is_some()).seal(&self.workspace, &self.node.event_key)
    }

    /// Returns the instance that serves this answer.
    pub fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Waits for the first token, which [`Session::next`] then returns; a failure before it gives the
    /// trial back for another attempt.
    pub async fn first(mut self) -> Result<Self, (Failure, Trial<P>)> {
        match self.next().await {
            Some(Item::Failed(failure)) if self.trial.is_some() => match self.trial.take() {
                Some(trial) => {
                    if self.ending != Some(Ending::Lost) {
                        self.cancel();
                    }
                    self.ending = Some(Ending::Retried);
                    Err((failure, trial))
                }
                None => Ok(self),
            },
            item => {
                self.held = item;
                Ok(self)
            }
        }
    }

    /// Waits for what comes next; `None` after the last token or after a failure.
    pub async fn next(&mut self) -> Option<Item> {
        if let Some(item) = self.held.take() {
            return Some(item);
        }
        if self.ending.is_some() || self.delivery.ended() {
            return None;
        }
        loop {
            match self.pull().await {
                Pulled::Token(token) => match self.delivery.accept(&token) {
                    Step::Deliver => return Some(self.deliver(token)),
                    Step::Repeat => {
                        self.node.metrics.repeats.inc();
                        self.progress = self.node.now();
                    }
                    // Dropped without progress: a stream with nothing else counts as stalled.
                    Step::Foreign => self.node.metrics.foreign.inc(),
                    Step::Gap => {
                        if let Some(item) = self.resume("tokens are missing").await {
                            return Some(item);
                        }
                    }
                },
                Pulled::Broken(reason) => {
                    if let Some(item) = self.resume(&reason).await {
                        return Some(item);
                    }
                }
                Pulled::Late => {
                    let failure = Failure::new(Code::DeadlinePassed, "the deadline passed");
                    return Some(self.fail(failure.with_run(Run::Ran)));
                }
                Pulled::Closing => {
                    self.ending = Some(Ending::Told);
                    self.code = Some(Code::Leaving);
                    return Some(Item::Moved);
                }
            }
        }
    }

    /// Waits for a token. The deadline and the planned stop go first: an engine that sends old tokens
    /// without end would otherwise hold the answer open for ever.
    async fn pull(&mut self) -> Pulled {
        let Some(tokens) = self.tokens.as_mut() else { return Pulled::Broken("cut".to_owned()) };
        let now = self.node.now();
        let left = self.deadline.since(now);
        let stall = self.node.settings.stall.saturating_sub(now.since(self.progress));
        tokio::select! {
            biased;
            () = sleep(left) => Pulled::Late,
            _ = self.phase.wait_for(|p| *p >= Phase::Closing) => Pulled::Closing,
            token = timeout(stall, tokens.next()) => match token {
                Ok(Ok(Some(token))) => Pulled::Token(token),
                Ok(Ok(None)) => Pulled::Broken("stream ended early".to_owned()),
                Ok(Err(error)) => Pulled::Broken(format!("{error:#}")),
                Err(_) => Pulled::Broken("stalled".to_owned()),
            },
        }
    }

    fn deliver(&mut self, token: Token) -> Item {
        self.node.metrics.tokens.inc();
        self.fruitless = 0;
        if token.offset == 0
            && let Some(placement) = &self.placement
        {
            placement.slot.note_started();
        }
        self.progress = self.node.now();
        if let Some(trial) = &self.trial
            && (token.offset == 0 || token.finish.is_some())
        {
            trial.clear(token.finish.is_some());
        }
        if let Some(placement) = &mut self.placement {
            placement.token();
            if token.finish.is_some() {
                placement.set_end(End::Finished);
            }
        }
        Item::Token(token)
    }
}
