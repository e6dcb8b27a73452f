//! One open answer: tokens from its engine, once and in order.

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

use super::{Lost, Placement, Trial, cancel, reconnect};
use crate::engine_client::Tokens;
use crate::front::Caller;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Attempts to reach the engine again before a stream is given up.
const TRIES: u32 = 6;
/// The same before the first token, when the request can start again elsewhere.
const FIRST_TRIES: u32 = 3;
/// Times that a stream is taken up again without a single new token.
const FRUITLESS: u32 = 8;

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
            trial: None,
            workspace: caller.workspace.clone(),
            request: caller.request.clone(),
            model: model.clone(),
            endpoint: endpoint.clone(),
            address,
            delivery: Delivery::new(GenerationId::new([0; 16])),
            tokens: None,
            held: None,
            deadline: caller.deadline,
            phase: node.watch_phase(),
            progress: node.now(),
            fruitless: 0,
            resumable: false,
            ending: None,
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

    /// Sets whether the caller gets event ids to resume with.
    #[must_use]
    pub fn with_resumable(mut self, resumable: bool) -> Self {
        self.resumable = resumable;
        self
    }

    /// Marks the answer as ended: the caller has its last token.
    #[must_use]
    pub fn with_ended(mut self) -> Self {
        self.delivery.end();
        self
    }

    /// Sets the place in the scheduler.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement<P>) -> Self {
        self.placement = Some(placement);
        self
    }

    /// Sets the request's pass through the suspects of crashes.
    #[must_use]
    pub fn with_trial(mut self, trial: Trial<P>) -> Self {
        self.trial = Some(trial);
        self
    }

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
            placement.seat.note_started();
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

    /// Takes the stream up again at the same engine; returns what to say if that can't be done.
    async fn resume(&mut self, reason: &str) -> Option<Item> {
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

    fn fail(&mut self, failure: Failure) -> Item {
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

    fn cancel(&self) {
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
