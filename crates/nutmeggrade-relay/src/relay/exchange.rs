//! Sends a request to an endpoint and reads the head of the response.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::response::Parts;
use http::{Request, Response, header};
use http_body_util::Full;
use nutmeggrade_core::peer::CrashSuspect;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, EventPosition};
use nutmeggrade_platform::{Backlog, Exchange};
use nutmeggrade_wire::answer::{self, ResponseHead};
use nutmeggrade_wire::request::{self, ForwardHeaders, ResumeFrom};

use super::client_request::ClientRequest;
use super::lease_result::LeaseResult;
use super::reservation::Reservation;
use super::upstream::{AbortOnDrop, UpstreamBody};
use crate::connect::connect;
use crate::node::Node;
use crate::tables::{Tables, lock};

/// Why no connection could be opened; nothing was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// The connection was refused, so no process listens at the address.
    Refused,
    /// The connection failed or was not answered.
    Failed(String),
    /// The connection was not answered, and this instance can't reach other endpoints either.
    CutOff,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("connection refused"),
            Self::Failed(reason) => f.write_str(reason),
            Self::CutOff => f.write_str("no endpoint can be reached"),
        }
    }
}

/// An open connection on which nothing was sent yet.
#[derive(Debug)]
pub struct OpenConnection {
    exchange: Exchange,
    task: AbortOnDrop<()>,
}

impl OpenConnection {
    /// Returns what the peer still has to read of the request, once it is sent.
    pub fn backlog(&self) -> Backlog {
        self.exchange.backlog()
    }

    /// Sends a request and waits for the response's head.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the connection breaks before it, or if it can't be a final response's.
    pub async fn send(
        self,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<Response<UpstreamBody>, String> {
        let response = self.exchange.send(request).await.map_err(|e| e.to_string())?;
        let (head, body) = response.into_parts();
        let body = UpstreamBody::new(body, &head.headers, self.task);
        Ok(Response::from_parts(head, body))
    }
}

/// Opens a connection for one request.
///
/// An endpoint may close a reused connection while the request is being sent, or deliver a late
/// response to an earlier request on it. On a new connection a failed connect proves that nothing
/// ran, and every byte received belongs to this request.
pub async fn open_connection(address: SocketAddr) -> Result<OpenConnection, ConnectError> {
    let stream = connect(address).await.map_err(|e| match e.kind() {
        io::ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::Failed(e.to_string()),
    })?;
    let (exchange, connection) =
        Exchange::new(stream).await.map_err(|e| ConnectError::Failed(e.to_string()))?;
    let task = AbortOnDrop(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "endpoint_connection_broke", %error);
        }
    }));
    Ok(OpenConnection { exchange, task })
}

/// Parameters of a send; the default is a first send without a lease.
#[derive(Debug, Default)]
pub struct SendOptions {
    /// The last event that the client has received.
    pub position: Option<EventPosition>,
    /// The copied memory that the generation resumes from.
    pub resume: Option<ResumeFrom>,
    /// What became of the request's lease.
    pub lease: LeaseResult,
}

/// An endpoint's response whose head was received.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status and headers.
    pub head: Parts,
    /// Status and platform headers, parsed.
    pub parsed: ResponseHead,
    /// The body.
    pub body: UpstreamBody,
    /// When the request was sent.
    pub sent_at: Moment,
}

impl EndpointResponse {
    /// Returns whether the response is a successful event stream.
    pub fn is_event_stream(&self) -> bool {
        is_event_stream(&self.head)
    }
}

/// Returns whether a response is a successful event stream.
pub fn is_event_stream(head: &Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    head.status.is_success() && content_type.is_some_and(|t| t.starts_with("text/event-stream"))
}

/// Why a send produced no usable response.
#[derive(Debug)]
pub enum SendError {
    /// The request could not be built; no byte was sent.
    NotSent(String),
    /// The endpoint accepts no new requests; no byte was sent.
    EndpointLeaving,
    /// The request is blocked because it, or a part of its prompt, crashed endpoints; no byte was
    /// sent.
    Held(CrashSuspect),
    /// The endpoint limits its rate or asked for a pause, and this instance has no turn; no byte was
    /// sent.
    NoTurn,
    /// The request was sent, but no response that belongs to it was received.
    Lost(String),
    /// The request was sent, but no response arrived before the timeout.
    TimedOut,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "request not sent: {reason}"),
            Self::EndpointLeaving => f.write_str("request not sent: endpoint is leaving"),
            Self::Held(culprit) => {
                write!(f, "request not sent: the {} {culprit} crashed endpoints", culprit.kind())
            }
            Self::NoTurn => f.write_str("request not sent: no turn at the endpoint"),
            Self::Lost(reason) => write!(f, "response lost: {reason}"),
            Self::TimedOut => f.write_str("no response before the timeout"),
        }
    }
}

/// Sends a request to an endpoint on an open connection and waits for the response head, until the
/// request's deadline.
///
/// The registry is checked immediately before the first byte: the endpoint may start to leave while
/// the connection is set up.
pub async fn send_request(
    node: &Arc<Node>,
    client_request: &ClientRequest,
    reservation: &Reservation,
    mut options: SendOptions,
    connection: OpenConnection,
) -> Result<EndpointResponse, SendError> {
    let endpoint = &reservation.endpoint;
    record_send(node, client_request, reservation, &options)?;
    let sent_at = node.now();
    let lease = std::mem::take(&mut options.lease).use_for(client_request, endpoint, sent_at);
    let request = build_request(node, client_request, endpoint, &options, lease.as_deref())
        .map_err(|e| SendError::NotSent(e.to_string()))?;
    let response = tokio::select! {
        response = connection.send(request) => response,
        () = node.clock.until(client_request.deadline) => return Err(SendError::TimedOut),
    };
    let response = response.map_err(SendError::Lost)?;
    let (head, body) = response.into_parts();
    let parsed = answer::read(&head);
    check_response(&head, &parsed, &client_request.id)?;
    // A misdirected request was rejected by another endpoint, which speaks for itself.
    if !parsed.misdirected {
        let asked_at = parsed.status.is_success().then_some(sent_at);
        node.apply_notice(&endpoint.id, parsed.notice, asked_at);
        node.note_load(endpoint, parsed.load);
        if let Some(load) = parsed.load {
            lock(&node.tables).note_waiting(&endpoint.id, load.waiting, node.now());
        }
    }
    Ok(EndpointResponse { head, parsed, body, sent_at })
}

/// Records a send, unless the endpoint accepts it no longer or the request is blocked: endpoints may
/// have crashed under it while it waited or at earlier sends. Resuming from a copy needs neither an
/// endpoint in service nor a turn, since the generation is there already.
fn record_send(
    node: &Node,
    client_request: &ClientRequest,
    reservation: &Reservation,
    options: &SendOptions,
) -> Result<(), SendError> {
    let endpoint = &reservation.endpoint;
    let tables = &mut *lock(&node.tables);
    let now = node.now();
    if options.resume.is_none() {
        take_send(tables, client_request, reservation, now)?;
    } else {
        check_held(tables, client_request, now)?;
        if !tables.take_essential(&endpoint.id, now) {
            return Err(SendError::NoTurn);
        }
        if !reservation.has_turn {
            tables.count_turn(&endpoint.id, now);
        }
    }
    tables.rollouts.note_sent(&endpoint.service, endpoint.version.as_ref());
    Ok(())
}

/// Checks that a request may be sent to an endpoint now, and takes its turn there.
///
/// # Errors
///
/// Fails if the endpoint accepts it no longer or the request is blocked.
pub fn take_send(
    tables: &mut Tables,
    client_request: &ClientRequest,
    reservation: &Reservation,
    now: Moment,
) -> Result<(), SendError> {
    check_held(tables, client_request, now)?;
    let endpoint = &reservation.endpoint.id;
    if !tables.registry.may_send(endpoint) {
        return Err(SendError::EndpointLeaving);
    }
    // The endpoint may have stated its limit or asked for a pause after the request was placed.
    let is_open = !tables.is_backing_off(endpoint, now)
        && (reservation.has_turn || tables.take_turn(endpoint, now));
    if is_open { Ok(()) } else { Err(SendError::NoTurn) }
}

fn check_held(
    tables: &mut Tables,
    client_request: &ClientRequest,
    now: Moment,
) -> Result<(), SendError> {
    match tables.crashes.holds(&client_request.suspects, now) {
        Some(culprit) => Err(SendError::Held(culprit)),
        None => Ok(()),
    }
}

/// Checks that the response belongs to the request, and that a successful one is signed.
fn check_response(head: &Parts, parsed: &ResponseHead, id: &RequestId) -> Result<(), SendError> {
    match answer::belongs_to_request(head, id.as_str()) {
        Some(true) => {}
        Some(false) => return Err(SendError::Lost("the answer is another request's".to_owned())),
        // An endpoint may reject a request before it has read the id.
        None if !parsed.status.is_success() => {}
        None => return Err(SendError::Lost("the answer names no request".to_owned())),
    }
    if parsed.status.is_success() && !parsed.signed {
        return Err(SendError::Lost("the answer is not signed".to_owned()));
    }
    Ok(())
}

fn build_request(
    node: &Node,
    client_request: &ClientRequest,
    endpoint: &EndpointInfo,
    options: &SendOptions,
    lease: Option<&str>,
) -> http::Result<Request<Full<bytes::Bytes>>> {
    let added = ForwardHeaders {
        endpoint: &endpoint.id,
        timeout: client_request.time_left(node.now()),
        workspace: client_request.workspace.as_ref(),
        priority: client_request.engine_priority(),
        position: options.position,
        resume: options.resume.as_ref(),
        lease,
    };
    let mut request = Request::builder()
        .method(client_request.method.clone())
        .uri(client_request.uri.clone())
        .body(Full::new(client_request.body.clone()))?;
    *request.headers_mut() = request::write(&client_request.headers, &added);
    Ok(request)
}
