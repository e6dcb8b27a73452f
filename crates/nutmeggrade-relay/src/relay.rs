//! Serves a client's request, from its head to the end of the response.

mod admission;
mod client_request;
mod crash;
mod exchange;
mod framing;
mod handler;
mod migration;
mod pending;
mod refusal;
mod reservation;
mod response;
mod resume;
mod stream;
mod transfer_end;
mod upstream;

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;

use crate::answer_body::AnswerBody;
use crate::node::Node;

/// Serves one request. `head_bytes` holds the bytes of its head as received.
pub async fn relay(
    node: &Arc<Node>,
    request: Request<Incoming>,
    head_bytes: &[u8],
) -> Response<AnswerBody> {
    match admission::admit(node, request, head_bytes).await {
        Ok(request) => handler::serve(node, request).await,
        Err(refused) => {
            refused.log(node);
            refusal::response(&refused.failure)
        }
    }
}
