//! Forwards requests to peers while this instance can't connect to a service's endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use http::response::Parts;
use http::{HeaderValue, Request};
use http_body_util::Full;
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::peer::{FORWARDED_HEADER, ForwardedRequest};
use nutmeggrade_core::prelude::*;
use nutmeggrade_wire::{answer, request};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::exchange::{OpenConnection, open_connection};
use super::final_response::FinalResponse;
use super::handler::RequestHandler;
use super::response::{self, ReadBody};
use super::shutdown;
use super::upstream::UpstreamBody;
use crate::tables::lock;

/// Peers that are asked to serve a request, one after the other.
const MAX_PEERS: usize = 6;
/// Timeout of a connection to a peer, which takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A response that a peer passes on, whose body is still to be read.
#[derive(Debug)]
pub struct PeerResponse {
    /// The peer.
    pub peer: InstanceId,
    /// Status and headers of the endpoint's response.
    pub head: Parts,
    /// The body.
    pub body: UpstreamBody,
}

/// Result of forwarding a request to a peer.
enum Forwarded {
    /// The peer passed an endpoint's response on.
    Response(FinalResponse),
    /// The peer did not serve the request, and another one may.
    NotServed,
}

impl RequestHandler {
    /// Forwards the request to a peer if this instance can't connect to the service's endpoints.
    /// Returns `None` if it can, or if no peer serves the request.
    ///
    /// A peer never forwards a request further, so requests don't circulate.
    pub async fn forward_if_cut_off(&mut self) -> Result<Option<FinalResponse>, Failure> {
        if !self.node.is_cut_off(&self.request.service) {
            return Ok(None);
        }
        if self.request.is_forwarded {
            return self.finish_cut_off().map(Some);
        }
        for (peer, address) in self.draw_peers() {
            if let Err(refusal) = shutdown::check_request(&self.node, &self.request) {
                return self.finish_without_room(refusal).map(Some);
            }
            if let Forwarded::Response(response) = self.forward(&peer, address).await? {
                return Ok(Some(response));
            }
        }
        self.has_asked_peers = true;
        Ok(None)
    }

    /// Draws peers at random: a cut often takes a whole failure domain, and the requests of all its
    /// instances should spread evenly.
    fn draw_peers(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.node.now();
        let peers = lock(&self.node.tables).fleet.forwarding_peers(&self.request.service, now);
        peers.sample(&mut rand::rng(), MAX_PEERS).cloned().collect()
    }

    async fn forward(
        &mut self,
        peer: &InstanceId,
        address: SocketAddr,
    ) -> Result<Forwarded, Failure> {
        let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, open_connection(address)).await else {
            self.log_forwarded(peer, "not_sent");
            return Ok(Forwarded::NotServed);
        };
        self.attempt.send();
        // From here on the peer's lines name the endpoint.
        self.pending.endpoint = None;
        let (head, body) = match self.send_to_peer(connection).await {
            Ok(response) => response,
            Err(reason) => return Err(self.lose_forwarded(peer, &reason)),
        };
        if head.headers.contains_key(CODE_HEADER) {
            return self.take_refusal(peer, body).await;
        }
        let length = answer::read(&head).length;
        let body = response::read_response(&self.node, &self.request, &head, length, body).await;
        let body = match body {
            Ok(body) => body,
            Err(reason) => return Err(self.lose_forwarded(peer, &reason)),
        };
        self.log_forwarded(peer, "answered");
        self.attempt.begin_response();
        let response = match body {
            ReadBody::Whole(body) => FinalResponse::Buffered(head, body),
            ReadBody::Large(body) => {
                FinalResponse::Forwarded(Box::new(PeerResponse { peer: peer.clone(), head, body }))
            }
        };
        Ok(Forwarded::Response(response))
    }

    async fn send_to_peer(
        &self,
        connection: OpenConnection,
    ) -> Result<(Parts, UpstreamBody), String> {
        let client_request = &self.request;
        // The route's number holds for the sends of both instances together.
        let attempts_left = client_request.route.attempts + 1 - self.attempt.sends();
        let forwarded = ForwardedRequest {
            route: client_request.route.name.clone(),
            kind: client_request.route.kind,
            target: client_request.route.target,
            attempts: attempts_left,
            service: client_request.service.clone(),
            workspace: client_request.workspace.clone(),
            priority: client_request.priority,
        };
        let forwarded = serde_json::to_vec(&forwarded).map_err(|e| e.to_string())?;
        let forwarded = HeaderValue::from_bytes(&forwarded).map_err(|e| e.to_string())?;
        let time_left = client_request.time_left(self.node.now());
        let mut request = Request::builder()
            .method(client_request.method.clone())
            .uri(client_request.uri.clone())
            .body(Full::new(client_request.body.clone()))
            .map_err(|e| e.to_string())?;
        *request.headers_mut() = request::write_to_peer(&client_request.headers, time_left);
        request.headers_mut().insert(FORWARDED_HEADER, forwarded);
        let (head, body) = connection.send(request).await?.into_parts();
        Ok((head, body))
    }

    /// Handles a failure of the peer. One that says that the peer can't serve any such request lets
    /// another peer try; any other is the client's answer.
    async fn take_refusal(
        &mut self,
        peer: &InstanceId,
        body: UpstreamBody,
    ) -> Result<Forwarded, Failure> {
        let failure = match response::read_body(body, &self.request.memory).await {
            Ok(ReadBody::Whole(body)) => {
                serde_json::from_slice::<Failure>(&body).map_err(|e| e.to_string())
            }
            Ok(ReadBody::Large(_)) => Err("the peer's failure is too large".to_owned()),
            Err(reason) => Err(reason),
        };
        let failure = match failure {
            Ok(failure) => failure,
            Err(reason) => return Err(self.lose_forwarded(peer, &reason)),
        };
        self.log_forwarded(peer, failure.code.name());
        match failure.run {
            RunStatus::NotRun => self.attempt.not_sent(),
            RunStatus::Ran => self.attempt.failed(),
            RunStatus::Unknown => self.attempt.lost(),
        }
        match failure.code {
            Code::CutOff => {
                let fleet = &mut lock(&self.node.tables).fleet;
                fleet.note_unreachable(peer, &self.request.service);
                Ok(Forwarded::NotServed)
            }
            Code::Leaving | Code::NotReady | Code::TooManyConnections => Ok(Forwarded::NotServed),
            // An earlier send may have run, whatever became of this one.
            _ => self.finish_without_room(failure).map(Forwarded::Response),
        }
    }

    /// Ends a request that neither this instance nor a peer can send.
    pub fn finish_cut_off(&mut self) -> Result<FinalResponse, Failure> {
        let delay = lock(&self.node.tables).dispatcher.draw_retry_delay();
        let detail = "this instance can't connect to the service's endpoints";
        self.finish_without_room(Failure::new(Code::CutOff, detail).with_retry_after(delay))
    }

    /// Records that the peer's response was lost, and returns the client's failure. The peer may
    /// have used up the sends that the route allows.
    fn lose_forwarded(&mut self, peer: &InstanceId, reason: &str) -> Failure {
        self.attempt.lost();
        self.log_forwarded(peer, "lost");
        self.failure(Code::OutcomeUnknown, reason)
    }

    fn log_forwarded(&self, peer: &InstanceId, end: &str) {
        self.node.metrics.forwards.with_label_values(&[end]).inc();
        tracing::info!(event = "forwarded", request = %self.request.id, %peer, end,
            run = self.attempt.run().as_str());
    }
}
