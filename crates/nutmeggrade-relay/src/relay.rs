//! Serves a client's request, from its head to the end of the response.

mod admission;
mod client_request;
mod crash;
mod exchange;
mod final_response;
mod forwarding;
mod framing;
mod handler;
mod lease;
mod lease_call;
mod lease_result;
mod migration;
mod open_response;
mod pending;
mod refusal;
mod request_log;
mod reservation;
mod response;
mod resume;
mod shutdown;
mod stream;
mod taking_up;
mod transfer_end;
mod upstream;

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use nutmeggrade_core::prelude::*;

use self::client_request::ClientRequest;
use self::refusal::RefusedRequest;
use crate::answer_body::AnswerBody;
use crate::intake::{ConnectionMemory, discard_body};
use crate::node::Node;

/// Serves one request. `head_bytes` holds the bytes of its head as received.
pub async fn relay(
    node: &Arc<Node>,
    request: Request<Incoming>,
    head_bytes: Bytes,
    memory: &ConnectionMemory,
) -> Response<AnswerBody> {
    serve(node, admission::admit(node, request, head_bytes, memory).await).await
}

/// Serves a request that a peer forwards for one of its clients.
pub async fn relay_forwarded(
    node: &Arc<Node>,
    request: Request<Incoming>,
    memory: &ConnectionMemory,
) -> Response<AnswerBody> {
    serve(node, admission::admit_forwarded(node, request, memory).await).await
}

/// Refuses a request that a peer forwards beyond its share of the connections.
pub fn refuse_forwarded(
    node: &Node,
    request: Request<Incoming>,
    memory: &ConnectionMemory,
) -> Response<AnswerBody> {
    discard_body(request.into_body(), node.map().limits.body_bytes, memory);
    let detail = "peers have as many connections as they may have";
    let failure = Failure::new(Code::TooManyConnections, detail);
    let refused = RefusedRequest { id: None, failure };
    refused.log(node);
    refusal::response(&refused.failure)
}

async fn serve(
    node: &Arc<Node>,
    admitted: Result<ClientRequest, RefusedRequest>,
) -> Response<AnswerBody> {
    match admitted {
        Ok(request) => handler::serve(node, request).await,
        Err(refused) => {
            refused.log(node);
            refusal::response(&refused.failure)
        }
    }
}
