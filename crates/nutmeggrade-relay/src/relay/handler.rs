//! Sends a request to endpoints until one of them responds or no further attempt is allowed.

mod connecting;
mod failures;
mod ready_endpoint;
mod replacement;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::dispatch::{DispatchRequest, Health};
use nutmeggrade_state::attempt::Attempt;
use nutmeggrade_state::body_end::Truncation;

use self::ready_endpoint::ReadyEndpoint;
use super::client_request::ClientRequest;
use super::crash::{self, Loss};
use super::exchange::{EndpointResponse, SendError, SendOptions, send_request};
use super::final_response::FinalResponse;
use super::lease_call;
use super::lease_result::LeaseResult;
use super::open_response::OpenResponse;
use super::pending::PendingRequest;
use super::reservation::{self, Reservation};
use super::response::ReadBody;
use super::{refusal, response, shutdown, stream};
use crate::answer_body::AnswerBody;
use crate::answer_deadline::AnswerDeadline;
use crate::node::Node;
use crate::open_requests::OpenEntry;
use crate::reach::{self, Reach};
use crate::tables::lock;

/// Unsent attempts after which a request fails. A crashed endpoint stays in the registry for three
/// of its heartbeats; when several crash together, the third attempt mostly reaches a live one.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Whether another endpoint is tried after a send.
enum SendStep {
    Done(FinalResponse),
    Retry,
    /// Nothing was sent, as the engine is full: the request goes on waiting for room.
    Requeue,
    /// The endpoint is silent, and this one takes the request in its place.
    Replace(Box<ReadyEndpoint>),
}

/// Sends one client's request to endpoints and tracks its attempts.
pub struct RequestHandler {
    /// The instance.
    pub node: Arc<Node>,
    /// The request.
    pub request: ClientRequest,
    /// Tracks the sends and whether the request may have run.
    pub attempt: Attempt,
    /// The request as the dispatcher sees it.
    pub dispatch_request: DispatchRequest,
    unsent_attempts: u32,
    failed_response: Option<(Parts, Bytes)>,
    /// Logs a request whose client disconnects before a response.
    pub pending: PendingRequest,
    /// Names the request in the log of a stop that cuts it off.
    pub open: OpenEntry,
    /// Whether peers were asked to serve the request, and none did.
    pub has_asked_peers: bool,
}

/// Serves an admitted request.
pub async fn serve(node: &Arc<Node>, request: ClientRequest) -> Response<AnswerBody> {
    let mut handler = RequestHandler::new(node, request);
    let deadline = handler.request.deadline;
    let result = tokio::select! {
        result = handler.run() => result,
        () = node.clock.until(deadline) => Err(handler.deadline_failure()),
        () = shutdown::until_end(node) => Err(handler.end_failure()),
    };
    let mut response = match result {
        Ok(FinalResponse::Buffered(head, body)) => {
            handler.log_response(&head, false);
            response::from_endpoint(head, AnswerBody::whole(body))
        }
        Ok(FinalResponse::Open(open)) => {
            handler.log_response(&open.response.head, true);
            if open.response.is_event_stream() {
                stream::start(node, handler, *open)
            } else {
                response::forward(node, handler, *open)
            }
        }
        Ok(FinalResponse::Forwarded(forwarded)) => {
            handler.log_response(&forwarded.head, true);
            response::forward_from_peer(node, handler, *forwarded)
        }
        Err(failure) => {
            handler.log_failure(&failure);
            refusal::response(&failure)
        }
    };
    response.extensions_mut().insert(AnswerDeadline(deadline));
    response
}

impl RequestHandler {
    fn new(node: &Arc<Node>, request: ClientRequest) -> Self {
        let settings = node.settings();
        let mut dispatch_request = request.dispatch_request(node.ticket(), &node.keyless_workspace);
        let now = request.arrived_at;
        let canary_share = {
            let mut tables = lock(&node.tables);
            // A forwarded request was counted by the instance that it arrived at.
            if request.is_forwarded {
                tables.rollouts.share(&request.service, now)
            } else {
                tables.count_request(&request.service, &settings, now)
            }
        };
        dispatch_request.is_canary = canary_share > rand::random();
        Self {
            node: Arc::clone(node),
            attempt: Attempt::new(request.route.kind, request.route.attempts),
            pending: PendingRequest::new(node, &request.id, request.arrived_at),
            open: OpenEntry::new(node, &request.id, &request.route.name, request.arrived_at),
            request,
            dispatch_request,
            unsent_attempts: 0,
            failed_response: None,
            has_asked_peers: false,
        }
    }

    async fn run(&mut self) -> Result<FinalResponse, Failure> {
        self.bind_version().await?;
        let mut queued_at = self.node.now();
        loop {
            if !self.has_asked_peers
                && let Some(response) = self.forward_if_cut_off().await?
            {
                return Ok(response);
            }
            let reserved = tokio::select! {
                biased;
                refusal = shutdown::until_too_late(&self.node, &self.request) => Err(refusal),
                reserved = reservation::reserve_since(
                    &self.node, &self.request, &self.dispatch_request, queued_at) => reserved,
            };
            let reservation = match reserved {
                Ok(reservation) => reservation,
                Err(failure) => return self.finish_without_room(failure),
            };
            let mut step = self.connect_and_send(reservation).await?;
            while let SendStep::Replace(endpoint) = step {
                step = self.send(*endpoint).await?;
            }
            match step {
                SendStep::Done(response) => return Ok(response),
                SendStep::Retry => queued_at = self.node.now(),
                SendStep::Requeue | SendStep::Replace(_) => {}
            }
            self.dispatch_request.ticket = self.node.ticket();
        }
    }

    /// Returns an earlier endpoint's error response, if there is one, or the failure. A request that
    /// may have run gets no failure which says that it has not.
    pub fn finish_without_room(&mut self, failure: Failure) -> Result<FinalResponse, Failure> {
        match self.failed_response.take() {
            Some((head, body)) => Ok(FinalResponse::Buffered(head, body)),
            None if failure.run != RunStatus::NotRun => Err(failure),
            None if self.attempt.run() == RunStatus::NotRun => Err(failure),
            None => Err(self.failure(Code::OutcomeUnknown, &failure.detail)),
        }
    }

    async fn connect_and_send(&mut self, reservation: Reservation) -> Result<SendStep, Failure> {
        let endpoint = &reservation.endpoint;
        self.pending.endpoint = Some(endpoint.id.clone());
        let lease =
            lease_call::request(&self.node, &self.request, &self.dispatch_request, endpoint);
        let lease = lease.await;
        if matches!(lease, LeaseResult::Full) {
            return Ok(SendStep::Requeue);
        }
        match self.connect(endpoint).await {
            Ok(connection) => self.send(ReadyEndpoint { reservation, lease, connection }).await,
            Err(error) => self.handle_unreachable(endpoint, &error).await,
        }
    }

    async fn send(&mut self, ready: ReadyEndpoint) -> Result<SendStep, Failure> {
        // The stop may have begun while the request waited for its lease or its connection.
        if let Err(refusal) = shutdown::check_request(&self.node, &self.request) {
            return self.finish_without_room(refusal).map(SendStep::Done);
        }
        // Not before: a request whose time passes while it connects has not run.
        self.attempt.send();
        self.watch_for_stall(&ready);
        let ReadyEndpoint { reservation, lease, connection } = ready;
        let endpoint = reservation.endpoint.clone();
        // A request that fails at a new version is not sent to that version again.
        self.dispatch_request.is_canary = false;
        self.pending.endpoint = Some(endpoint.id.clone());
        self.open.sent(&endpoint.id);
        let backlog = connection.backlog();
        let options = SendOptions { lease, ..SendOptions::default() };
        let result = tokio::select! {
            biased;
            result = send_request(&self.node, &self.request, &reservation, options, connection) => result,
            other = self.replacement(&endpoint, &backlog) => return Ok(self.replace(&endpoint, other)),
        };
        match result {
            Ok(response) if response.parsed.misdirected => {
                self.attempt.misdirected();
                self.record_send("misdirected", &endpoint.id);
                // The intended endpoint is gone, even if the registry still lists it.
                self.node.settle_losses_at(&endpoint.id);
                self.node.announce_leaving(std::slice::from_ref(&endpoint.id));
                if !self.node.take_resend(&self.request.service) {
                    return Err(self.failure(Code::NoRoom, "another endpoint has the address"));
                }
                self.retry_unsent(&endpoint.id, "another endpoint has the address")
            }
            Ok(response) if response.parsed.not_run => {
                self.attempt.refused();
                self.record_send("refused", &endpoint.id);
                self.retry_or_finish(&endpoint.id, "the endpoint is full", Code::NoRoom)
            }
            Ok(response) => self.handle_response(response, reservation).await,
            Err(SendError::NotSent(reason)) => {
                self.attempt.not_sent();
                self.retry_unsent(&endpoint.id, &reason)
            }
            Err(SendError::EndpointLeaving) => {
                self.attempt.not_sent();
                self.retry_unsent(&endpoint.id, "the endpoint leaves")
            }
            Err(SendError::Held(culprit)) => {
                self.attempt.not_sent();
                self.finish_without_room(crash::held(&culprit)).map(SendStep::Done)
            }
            Err(SendError::NoTurn) => {
                self.attempt.not_sent();
                self.retry_unsent(&endpoint.id, "the endpoint takes no more requests")
            }
            Err(SendError::TimedOut) => Err(self.deadline_failure()),
            Err(SendError::Lost(reason)) => {
                self.attempt.lost();
                self.record_send("lost", &endpoint.id);
                let reach = reach::check(&self.node, &endpoint).await;
                if reach == Reach::Reached {
                    self.record_outcome(&endpoint, Outcome::Failed);
                    self.node.update_health(&endpoint.id, Health::record_loss);
                }
                let loss = Loss::before_answer(&endpoint, reach);
                crash::examine(&self.node, &self.request, loss).await;
                self.retry_or_finish(&endpoint.id, &reason, Code::OutcomeUnknown)
            }
        }
    }

    /// Gives up a silent endpoint for one that takes the request in its place.
    fn replace(&mut self, silent: &EndpointInfo, other: ReadyEndpoint) -> SendStep {
        self.attempt.lost();
        self.record_send("silent", &silent.id);
        self.record_outcome(silent, Outcome::Failed);
        self.dispatch_request.avoid.insert(silent.id.clone());
        SendStep::Replace(Box::new(other))
    }

    /// Handles a response whose head was received: leaves a stream or a large body open, and reads
    /// any other body.
    async fn handle_response(
        &mut self,
        response: EndpointResponse,
        reservation: Reservation,
    ) -> Result<SendStep, Failure> {
        let endpoint = reservation.endpoint.id.clone();
        let EndpointResponse { head, parsed, body, sent_at } = response;
        let begun_at = self.node.now();
        let elapsed = begun_at.since(sent_at);
        let framing = body.framing();
        let mut body =
            response::read_response(&self.node, &self.request, &head, parsed.length, body).await;
        if matches!(body, Ok(ReadBody::Whole(_)))
            && crash::may_have_cut(&self.node, &reservation.endpoint, framing).await
        {
            body = Err(Truncation::EndpointGone.as_str().to_owned());
        }
        let body = match body {
            Ok(ReadBody::Whole(body)) => body,
            Ok(ReadBody::Large(body)) => {
                let response = EndpointResponse { head, parsed, body, sent_at };
                return Ok(self.leave_open(response, reservation, elapsed));
            }
            Err(reason) => {
                self.attempt.lost();
                self.record_outcome(&reservation.endpoint, Outcome::Failed);
                self.record_send("broken", &endpoint);
                self.node.update_health(&endpoint, Health::record_failure);
                let reach = reach::check(&self.node, &reservation.endpoint).await;
                let alive = self.node.now().since(begun_at);
                let loss = Loss { endpoint: &reservation.endpoint, reach, alive };
                crash::examine(&self.node, &self.request, loss).await;
                return self.retry_or_finish(&endpoint, &reason, Code::OutcomeUnknown);
            }
        };
        self.node.note_completed(&self.request.suspects);
        if parsed.is_failure() {
            self.attempt.failed();
            self.record_outcome(&reservation.endpoint, Outcome::Failed);
            self.record_send("failed", &endpoint);
            self.node.update_health(&endpoint, Health::record_failure);
            if self.claim_retry() {
                self.failed_response = Some((head, body));
                self.dispatch_request.avoid.insert(endpoint);
                return Ok(SendStep::Retry);
            }
        } else {
            self.attempt.begin_response();
            self.record_outcome(&reservation.endpoint, Outcome::FirstResponse(elapsed));
            self.record_send("answered", &endpoint);
            self.node.update_health(&endpoint, Health::record_success);
        }
        Ok(SendStep::Done(FinalResponse::Buffered(head, body)))
    }

    /// Ends the handling with a response whose body is passed on as it comes.
    fn leave_open(
        &mut self,
        response: EndpointResponse,
        reservation: Reservation,
        elapsed: Duration,
    ) -> SendStep {
        self.attempt.begin_response();
        if !response.is_event_stream() {
            self.record_outcome(&reservation.endpoint, Outcome::FirstResponse(elapsed));
        }
        self.record_send("answered", &reservation.endpoint.id);
        SendStep::Done(FinalResponse::Open(Box::new(OpenResponse { response, reservation })))
    }

    /// Excludes the endpoint and retries after an unsent attempt, up to [`MAX_UNSENT_ATTEMPTS`].
    fn retry_unsent(&mut self, endpoint: &EndpointId, detail: &str) -> Result<SendStep, Failure> {
        self.dispatch_request.avoid.insert(endpoint.clone());
        self.unsent_attempts += 1;
        if self.unsent_attempts < MAX_UNSENT_ATTEMPTS {
            return Ok(SendStep::Retry);
        }
        Err(self.failure(Code::NoRoom, detail))
    }

    /// Excludes the endpoint and retries if that is allowed; otherwise finishes with an earlier
    /// endpoint's error response or with a failure.
    fn retry_or_finish(
        &mut self,
        endpoint: &EndpointId,
        detail: &str,
        code: Code,
    ) -> Result<SendStep, Failure> {
        self.dispatch_request.avoid.insert(endpoint.clone());
        if self.claim_retry() {
            return Ok(SendStep::Retry);
        }
        if let Some((head, body)) = self.failed_response.take() {
            return Ok(SendStep::Done(FinalResponse::Buffered(head, body)));
        }
        Err(self.failure(code, detail))
    }

    /// Returns whether the request may be sent to another endpoint; if so, takes the retry from the
    /// fleet-wide retry budget.
    fn claim_retry(&self) -> bool {
        self.attempt.may_send() && self.node.take_resend(&self.request.service)
    }
}
