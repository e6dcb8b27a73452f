//! Hands a request to an endpoint and reads the head of its answer.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::response::Parts;
use http::{Request, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, EventPosition};
use nutmeggrade_wire::answer::{self, Answered};
use nutmeggrade_wire::request::{self, ResumeFrom, Sending};

use super::call::Call;
use super::upstream::{EndOnDrop, Upstream};
use crate::dial::dial;
use crate::node::Node;
use crate::tables::lock;

/// What is said of one send beyond the request itself.
#[derive(Debug, Clone, Default)]
pub struct Extra {
    /// The last event that the client has.
    pub position: Option<EventPosition>,
    /// The memory that the generation goes on from.
    pub resume: Option<ResumeFrom>,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: Parts,
    /// What the head says.
    pub said: Answered,
    /// Its body.
    pub upstream: Upstream,
    /// When the request went out.
    pub sent: Moment,
}

impl Answer {
    /// Says whether it is a stream of events that the endpoint makes.
    pub fn is_events(&self) -> bool {
        let kind = self.head.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
        self.said.status.is_success() && kind.is_some_and(|k| k.starts_with("text/event-stream"))
    }
}

/// Why a send brought no answer.
#[derive(Debug)]
pub enum NoAnswer {
    /// Not a byte of the request went out.
    NotSent(String),
    /// Nobody listens at the endpoint's address; not a byte went out.
    Gone,
    /// The endpoint may get nothing new any more; not a byte went out.
    Leaving,
    /// The request went out, and nothing that belongs to it came back.
    Lost(String),
    /// The request went out, and no answer came in time.
    Silent,
}

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Gone => f.write_str("not sent: nobody listens at the endpoint's address"),
            Self::Leaving => f.write_str("not sent: the endpoint leaves"),
            Self::Lost(why) => write!(f, "lost: {why}"),
            Self::Silent => f.write_str("no answer in time"),
        }
    }
}

/// Hands a request to an endpoint on a connection of its own, and waits at most `patience` for the
/// head of its answer.
///
/// On a kept connection the endpoint may close just as the request goes out, and a late answer to
/// an earlier request may come first. With a fresh one a failed connect proves that nothing ran, and
/// all that comes back is meant for this request. The endpoint's standing is asked for when the
/// connection stands, immediately before the first byte: connecting takes time in which it may leave.
pub async fn exchange(
    node: &Arc<Node>,
    call: &Call,
    endpoint: &EndpointInfo,
    extra: &Extra,
    patience: Duration,
) -> Result<Answer, NoAnswer> {
    let stream = dial(endpoint.address).await.map_err(|e| match e.kind() {
        io::ErrorKind::ConnectionRefused => NoAnswer::Gone,
        _ => NoAnswer::NotSent(e.to_string()),
    })?;
    let (mut sender, connection) = http1::handshake::<_, Full<bytes::Bytes>>(TokioIo::new(stream))
        .await
        .map_err(|e| NoAnswer::NotSent(e.to_string()))?;
    let connection = EndOnDrop(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "endpoint_connection_broke", %error);
        }
    }));
    let is_continued = extra.resume.is_some();
    if !note_send(node, endpoint, is_continued) {
        return Err(NoAnswer::Leaving);
    }
    let sent = node.now();
    let request =
        build(node, call, endpoint, extra).map_err(|e| NoAnswer::NotSent(e.to_string()))?;
    let response = tokio::select! {
        response = sender.send_request(request) => response,
        () = tokio::time::sleep(patience) => return Err(NoAnswer::Silent),
    };
    let response = response.map_err(|e| NoAnswer::Lost(e.to_string()))?;
    let (head, body) = response.into_parts();
    let said = answer::read(&head);
    check(&head, &said, &call.id)?;
    Ok(Answer { head, said, upstream: Upstream::new(body, connection), sent })
}

/// Counts a request that goes out now; says whether it may. What goes on from a copy may always.
fn note_send(node: &Node, endpoint: &EndpointInfo, is_continued: bool) -> bool {
    let mut tables = lock(&node.tables);
    let may = is_continued || tables.registry.may_send(&endpoint.id);
    if may {
        tables.rollouts.note_sent(&endpoint.service, endpoint.version.as_ref());
    }
    may
}

/// Tells answers that belong to the request from all others.
fn check(head: &Parts, said: &Answered, id: &RequestId) -> Result<(), NoAnswer> {
    match answer::belongs(head, id.as_str()) {
        Some(true) => {}
        Some(false) => return Err(NoAnswer::Lost("the answer is another request's".to_owned())),
        // Refusals may come before the endpoint has read the id.
        None if !said.status.is_success() => {}
        None => return Err(NoAnswer::Lost("the answer names no request".to_owned())),
    }
    if said.status.is_success() && !said.signed {
        return Err(NoAnswer::Lost("the answer is not signed".to_owned()));
    }
    Ok(())
}

fn build(
    node: &Node,
    call: &Call,
    endpoint: &EndpointInfo,
    extra: &Extra,
) -> http::Result<Request<Full<bytes::Bytes>>> {
    let sending = Sending {
        endpoint: &endpoint.id,
        left: call.left(node.now()),
        workspace: call.workspace.as_ref(),
        priority: call.engine_rank(),
        position: extra.position,
        resume: extra.resume.as_ref(),
    };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.clone())
        .body(Full::new(call.body.clone()))?;
    *request.headers_mut() = request::write(&call.headers, &sending);
    Ok(request)
}
