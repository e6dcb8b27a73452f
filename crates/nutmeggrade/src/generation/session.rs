//! One open answer: tokens from its engine, once and in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::engine::Token;
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;
use nutmeggrade_state::delivery::{Delivery, Step};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Placement;
use crate::engine_client::{EngineError, Tokens};
use crate::front::Caller;
use crate::node::{Node, Phase};

/// Attempts to reach the engine again before a stream is given up.
const RESUMES: u32 = 6;
/// First pause between them; it doubles.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

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
    first: Option<Token>,
    deadline: Moment,
    phase: watch::Receiver<Phase>,
    over: bool,
    code: Option<Code>,
}

enum Pulled {
    Token(Token),
    Broken(String),
    Late,
    Closing,
}

impl<P: Platform> Session<P> {
    /// Opens an answer of a generation on an engine.
    pub fn new(
        node: &Arc<Node<P>>,
        caller: &Caller,
        model: &ModelId,
        endpoint: &EndpointId,
        address: SocketAddr,
    ) -> Self {
        node.metrics.streams.inc();
        Self {
            node: Arc::clone(node),
            placement: None,
            workspace: caller.workspace.clone(),
            request: caller.request.clone(),
            model: model.clone(),
            endpoint: endpoint.clone(),
            address,
            delivery: Delivery::new(GenerationId::new([0; 16])),
            tokens: None,
            first: None,
            deadline: caller.deadline,
            phase: node.watch_phase(),
            over: false,
            code: None,
        }
    }

    /// Sets the generation and the offset of the next token.
    #[must_use]
    pub fn with_generation(mut self, generation: GenerationId, next: u64) -> Self {
        self.delivery = Delivery::new(generation).with_next(next);
        self
    }

    /// Sets the engine's stream.
    #[must_use]
    pub fn with_tokens(mut self, tokens: Tokens) -> Self {
        self.tokens = Some(tokens);
        self
    }

    /// Sets the token that was already read.
    #[must_use]
    pub fn with_first(mut self, token: Token) -> Self {
        self.first = Some(token);
        self
    }

    /// Sets the place in the scheduler.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement<P>) -> Self {
        self.placement = Some(placement);
        self
    }

    /// Returns the generation.
    pub fn generation(&self) -> GenerationId {
        self.delivery.generation()
    }

    /// Returns the authenticated event id of a token.
    pub fn event_id(&self, token: &Token) -> String {
        let id = EventId {
            endpoint: self.endpoint.clone(),
            generation: token.generation,
            offset: token.offset,
        };
        id.seal(&self.workspace, &self.node.event_key)
    }

    /// Returns the instance that serves this answer.
    pub fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Waits for what comes next; `None` after the last token or after a failure.
    pub async fn next(&mut self) -> Option<Item> {
        if self.over || self.delivery.ended() {
            return None;
        }
        loop {
            match self.pull().await {
                Pulled::Token(token) => match self.delivery.accept(&token) {
                    Step::Deliver => return Some(self.deliver(token)),
                    Step::Repeat => self.node.metrics.repeats.inc(),
                    Step::Foreign | Step::Gap => {
                        if let Some(item) = self.reconnect("wrong token").await {
                            return Some(item);
                        }
                    }
                },
                Pulled::Broken(reason) => {
                    if let Some(item) = self.reconnect(&reason).await {
                        return Some(item);
                    }
                }
                Pulled::Late => {
                    let failure = Failure::new(Code::DeadlinePassed, "the deadline passed");
                    return Some(self.fail(failure.with_run(Run::Ran)));
                }
                Pulled::Closing => {
                    self.over = true;
                    self.code = Some(Code::Leaving);
                    return Some(Item::Moved);
                }
            }
        }
    }

    async fn pull(&mut self) -> Pulled {
        if let Some(token) = self.first.take() {
            return Pulled::Token(token);
        }
        let Some(tokens) = self.tokens.as_mut() else { return Pulled::Broken("cut".to_owned()) };
        let left = self.deadline.since(self.node.now());
        tokio::select! {
            biased;
            token = timeout(self.node.settings.stall, tokens.next()) => match token {
                Ok(Ok(Some(token))) => Pulled::Token(token),
                Ok(Ok(None)) => Pulled::Broken("stream ended early".to_owned()),
                Ok(Err(error)) => Pulled::Broken(format!("{error:#}")),
                Err(_) => Pulled::Broken("stalled".to_owned()),
            },
            () = sleep(left) => Pulled::Late,
            _ = self.phase.wait_for(|p| *p >= Phase::Closing) => Pulled::Closing,
        }
    }

    fn deliver(&mut self, token: Token) -> Item {
        self.node.metrics.tokens.inc();
        if let Some(placement) = &mut self.placement {
            placement.token();
            if token.finish.is_some() {
                placement.set_end(End::Finished);
            }
        }
        Item::Token(token)
    }

    /// Takes the stream up again at the same engine; returns what to say if that can't be done.
    async fn reconnect(&mut self, reason: &str) -> Option<Item> {
        self.tokens = None;
        let generation = self.delivery.generation();
        tracing::info!(
            event = "resume",
            request = %self.request,
            endpoint = %self.endpoint,
            %generation,
            next = self.delivery.next(),
            reason
        );
        let why = format!("endpoint={} next={} {reason}", self.endpoint, self.delivery.next());
        self.node.note(&self.request, "resume", &why);
        let mut pause = RESUME_PAUSE;
        for _ in 0..RESUMES {
            self.node.metrics.resumes.inc();
            let next = self.delivery.next();
            let resumed = self.node.engines.resume(self.address, generation, next);
            match timeout(self.node.settings.stall, resumed).await {
                Ok(Ok(tokens)) => {
                    self.tokens = Some(tokens);
                    return None;
                }
                Ok(Err(EngineError::Gone)) => break,
                Ok(Err(EngineError::Failed(_))) | Err(_) => {}
            }
            sleep(pause).await;
            pause *= 2;
            if self.deadline <= self.node.now() {
                break;
            }
        }
        let failure = Failure::new(Code::StreamLost, "the engine lost the generation");
        Some(self.fail(failure.with_run(Run::Ran)))
    }

    fn fail(&mut self, failure: Failure) -> Item {
        self.over = true;
        self.code = Some(failure.code);
        if let Some(placement) = &mut self.placement {
            placement.set_end(End::Failed);
        }
        Item::Failed(failure)
    }
}

impl<P: Platform> Drop for Session<P> {
    fn drop(&mut self) {
        self.node.metrics.streams.dec();
        let gone = (!self.delivery.ended()).then_some(Code::CallerGone);
        let code = self.code.or(gone).map_or(0, Code::number);
        let detail = format!("endpoint={} tokens={}", self.endpoint, self.delivery.next());
        self.node.note_end(&self.request, self.workspace.as_str(), code, &detail);
    }
}
