//! Looks for an endpoint that answers a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::{EndpointInfo, RouteKind};
use nutmeggrade_policy::dispatch::{Health, Need};
use nutmeggrade_state::attempt::Attempt;

use super::call::Call;
use super::crash;
use super::exchange::{Answer, Extra, NoAnswer, exchange};
use super::pending::Pending;
use super::place::{self, Place};
use super::{plain, refusal, stream};
use crate::answer_body::AnswerBody;
use crate::node::Node;
use crate::tables::lock;

/// Connections that may fail before a request is given up. An endpoint that died is in the registry
/// for three of its heartbeats; when several die together, the third is mostly a live one.
const MOST_UNSENT: u32 = 4;
/// Part of the time left that a first endpoint gets to answer a request that a second one may
/// answer too.
const FIRST_TRY: u32 = 3;
/// Time after which whoever was refused by an endpoint may come back: a few steps of an engine.
const RETURN: Duration = Duration::from_millis(300);

/// What the search found.
enum Found {
    /// A whole answer.
    Whole(Parts, Bytes),
    /// An answer of which only the head is read.
    Begun(Box<Begun>),
}

/// An answer of which only the head is read, and the place it comes from.
pub struct Begun {
    /// The answer.
    pub answer: Answer,
    /// The place at its endpoint.
    pub place: Place,
}

/// Whether the search goes on after a send.
enum Step {
    Done(Found),
    Again,
}

/// Looks for an endpoint that answers a request.
pub struct Search {
    node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// What may be said and done about it.
    pub attempt: Attempt,
    need: Need,
    unsent: u32,
    last: Option<(Parts, Bytes)>,
    pending: Pending,
}

/// Serves a request that may be served.
pub async fn serve(node: &Arc<Node>, call: Call) -> Response<AnswerBody> {
    let mut search = Search::new(node, call);
    let deadline = search.call.deadline;
    let result = tokio::select! {
        result = search.run() => result,
        () = node.clock.until(deadline) => Err(search.overdue()),
    };
    match result {
        Ok(Found::Whole(head, body)) => {
            search.log_answer(&head, false);
            plain::response(head, AnswerBody::whole(body))
        }
        Ok(Found::Begun(begun)) => {
            search.log_answer(&begun.answer.head, true);
            if begun.answer.is_events() {
                stream::start(node, search, *begun)
            } else {
                plain::forward(node, &search.call, *begun)
            }
        }
        Err(failure) => {
            search.log_failure(&failure);
            refusal::response(&failure)
        }
    }
}

impl Search {
    fn new(node: &Arc<Node>, call: Call) -> Self {
        let settings = node.settings();
        let mut need = call.need(node.ticket(), &node.anybody);
        let share = lock(&node.tables).count_request(&call.service, &settings, call.arrived);
        need.is_canary = share > rand::random();
        Self {
            node: Arc::clone(node),
            attempt: Attempt::new(call.route.kind, call.route.attempts),
            pending: Pending::new(node, &call.id, call.arrived),
            call,
            need,
            unsent: 0,
            last: None,
        }
    }

    async fn run(&mut self) -> Result<Found, Failure> {
        loop {
            let place = match place::find(&self.node, &self.call, &self.need).await {
                Ok(place) => place,
                Err(failure) => return self.without_place(failure),
            };
            match self.send(place).await? {
                Step::Done(found) => return Ok(found),
                Step::Again => self.need.ticket = self.node.ticket(),
            }
        }
    }

    /// Ends a search that found no room: with the answer of an earlier endpoint, if there is one.
    fn without_place(&mut self, failure: Failure) -> Result<Found, Failure> {
        match self.last.take() {
            Some((head, body)) => Ok(Found::Whole(head, body)),
            None if self.attempt.run() == Run::NotRun => Err(failure),
            None => Err(self.failure(Code::OutcomeUnknown, &failure.detail)),
        }
    }

    async fn send(&mut self, place: Place) -> Result<Step, Failure> {
        let endpoint = place.endpoint.clone();
        // A new version that fails a request gets it once.
        self.need.is_canary = false;
        self.pending.endpoint = Some(endpoint.id.clone());
        self.attempt.send();
        let patience = self.patience();
        let sent = exchange(&self.node, &self.call, &endpoint, &Extra::default(), patience).await;
        match sent {
            Ok(answer) if answer.said.misdirected => {
                self.attempt.misdirected();
                self.note("misdirected", &endpoint.id);
                // The endpoint that was meant is gone, whatever the registry still says of it.
                self.node.announce_leaving(std::slice::from_ref(&endpoint.id));
                if !self.node.take_resend(&self.call.service) {
                    return Err(self.failure(Code::NoRoom, "another endpoint has the address"));
                }
                self.next_unsent(&endpoint.id, "another endpoint has the address")
            }
            Ok(answer) if answer.said.not_run => {
                self.attempt.refused();
                self.note("refused", &endpoint.id);
                self.next(&endpoint.id, "the endpoint is full", Code::NoRoom)
            }
            Ok(answer) => self.take(answer, place).await,
            Err(NoAnswer::NotSent(why)) => {
                self.attempt.not_sent();
                self.note("not_sent", &endpoint.id);
                self.node.note_health(&endpoint.id, Health::lost);
                self.next_unsent(&endpoint.id, &why)
            }
            Err(NoAnswer::Gone) => {
                self.attempt.not_sent();
                self.note("not_sent", &endpoint.id);
                self.node.note_health(&endpoint.id, Health::lost);
                self.node.announce_gone(&endpoint.id);
                self.next_unsent(&endpoint.id, "nobody listens at the endpoint's address")
            }
            Err(NoAnswer::Leaving) => {
                self.attempt.not_sent();
                self.next_unsent(&endpoint.id, "the endpoint leaves")
            }
            Err(NoAnswer::Silent) => {
                self.attempt.lost();
                self.note_outcome(&endpoint, Outcome::Failed);
                self.note("silent", &endpoint.id);
                self.node.note_health(&endpoint.id, Health::failed);
                self.next(&endpoint.id, "no answer in time", Code::DeadlinePassed)
            }
            Err(NoAnswer::Lost(why)) => {
                self.attempt.lost();
                self.note_outcome(&endpoint, Outcome::Failed);
                crash::look(&self.node, &self.call, &endpoint);
                self.note("lost", &endpoint.id);
                self.node.note_health(&endpoint.id, Health::lost);
                self.next(&endpoint.id, &why, Code::OutcomeUnknown)
            }
        }
    }

    /// Takes an answer whose head has come.
    async fn take(&mut self, answer: Answer, place: Place) -> Result<Step, Failure> {
        let is_stream = answer.is_events();
        let is_large = answer.said.length.is_some_and(|l| l > plain::MOST_KEPT as u64);
        let took = self.node.now().since(answer.sent);
        if is_stream || is_large {
            self.attempt.answer();
            if !is_stream {
                self.note_outcome(&place.endpoint, Outcome::FirstResponse(took));
            }
            self.note("answered", &place.endpoint.id);
            return Ok(Step::Done(Found::Begun(Box::new(Begun { answer, place }))));
        }
        let endpoint = place.endpoint.id.clone();
        let Answer { head, said, upstream, .. } = answer;
        let body = match plain::read_whole(upstream).await {
            Ok(body) => body,
            Err(why) => {
                self.attempt.lost();
                self.note_outcome(&place.endpoint, Outcome::Failed);
                self.note("broken", &endpoint);
                self.node.note_health(&endpoint, Health::failed);
                return self.next(&endpoint, &why, Code::OutcomeUnknown);
            }
        };
        if said.is_failure() {
            self.attempt.failed();
            self.note_outcome(&place.endpoint, Outcome::Failed);
            self.note("failed", &endpoint);
            self.node.note_health(&endpoint, Health::failed);
            if self.may_repeat() {
                self.last = Some((head, body));
                self.need.avoid.insert(endpoint);
                return Ok(Step::Again);
            }
        } else {
            self.attempt.answer();
            self.note_outcome(&place.endpoint, Outcome::FirstResponse(took));
            self.note("answered", &endpoint);
            self.node.note_health(&endpoint, Health::succeeded);
        }
        Ok(Step::Done(Found::Whole(head, body)))
    }

    /// Goes on at another endpoint after nothing went out, or ends the search.
    fn next_unsent(&mut self, endpoint: &EndpointId, why: &str) -> Result<Step, Failure> {
        self.need.avoid.insert(endpoint.clone());
        self.unsent += 1;
        if self.unsent < MOST_UNSENT {
            return Ok(Step::Again);
        }
        Err(self.failure(Code::NoRoom, why))
    }

    /// Goes on at another endpoint, or ends the search with what is known.
    fn next(&mut self, endpoint: &EndpointId, why: &str, code: Code) -> Result<Step, Failure> {
        self.need.avoid.insert(endpoint.clone());
        if self.may_repeat() {
            return Ok(Step::Again);
        }
        if let Some((head, body)) = self.last.take() {
            return Ok(Step::Done(Found::Whole(head, body)));
        }
        Err(self.failure(code, why))
    }

    /// Says whether the request may be handed to a further endpoint, and takes that out of the
    /// fleet's budget.
    fn may_repeat(&self) -> bool {
        self.attempt.may_send() && self.node.take_resend(&self.call.service)
    }

    /// Returns how long the next endpoint gets to answer.
    fn patience(&self) -> Duration {
        let left = self.call.left(self.node.now());
        let is_last = self.attempt.sends() >= self.call.route.attempts;
        if self.call.route.kind == RouteKind::Idempotent && !is_last {
            return self.call.route.target.max(left / FIRST_TRY);
        }
        left
    }

    /// Makes the final answer of a search that ends with `code`, or with what is true instead: only
    /// while nothing ran is a client told that, and when to come back.
    fn failure(&self, code: Code, why: &str) -> Failure {
        let run = self.attempt.run();
        if run == Run::NotRun {
            return Failure::new(Code::NoRoom, why).with_retry_after(RETURN);
        }
        let code = if code == Code::NoRoom { Code::OutcomeUnknown } else { code };
        Failure::new(code, why).with_run(run)
    }

    /// Returns the final answer at the end of the time that the request had.
    fn overdue(&mut self) -> Failure {
        self.attempt.end();
        if self.attempt.run() == Run::NotRun {
            return Failure::new(Code::TooLate, "the time passed before an endpoint had room")
                .with_retry_after(RETURN);
        }
        Failure::new(Code::DeadlinePassed, "the time passed").with_run(self.attempt.run())
    }

    /// Notes what the request tells of its endpoint's version.
    fn note_outcome(&self, endpoint: &EndpointInfo, outcome: Outcome) {
        let now = self.node.now();
        lock(&self.node.tables).note_outcome(endpoint, &self.call.route.name, outcome, now);
    }

    fn note(&self, end: &str, endpoint: &EndpointId) {
        self.node.metrics.sends.with_label_values(&[end]).inc();
        if end != "answered" {
            tracing::info!(event = "send", request = %self.call.id, endpoint = %endpoint, end,
                sends = self.attempt.sends(), run = self.attempt.run().as_str());
        }
    }

    /// Logs that the client gets an answer; one that is `open` is passed on as it comes and has a line
    /// at its end.
    fn log_answer(&mut self, head: &Parts, open: bool) {
        self.pending.end();
        let took = self.node.now().since(self.call.arrived);
        self.node.metrics.first.observe(took.as_secs_f64());
        let status = head.status.as_u16().to_string();
        self.node.metrics.requests.with_label_values(&["answered", &status]).inc();
        tracing::info!(event = "answered", request = %self.call.id, route = self.call.route.name,
            endpoint = self.pending.endpoint_name(), status, open,
            sends = self.attempt.sends(), ms = took.as_millis());
    }

    fn log_failure(&mut self, failure: &Failure) {
        self.pending.end();
        let took = self.node.now().since(self.call.arrived);
        refusal::count(&self.node, "failed", failure.code);
        tracing::info!(event = "failed", request = %self.call.id, route = self.call.route.name,
            endpoint = self.pending.endpoint_name(),
            code = failure.code.number(), name = failure.code.name(), run = failure.run.as_str(),
            sends = self.attempt.sends(), ms = took.as_millis(),
            back_ms = failure.retry_after.unwrap_or_default().as_millis(), why = failure.detail);
    }
}
