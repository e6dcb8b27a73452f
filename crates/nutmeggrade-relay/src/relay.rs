//! One request of a client, from its head to the end of its answer.

mod call;
mod crash;
mod end;
mod escape;
mod exchange;
mod framing;
mod intake;
mod pending;
mod place;
mod plain;
mod refusal;
mod search;
mod splice;
mod stream;
mod upstream;

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;

use crate::answer_body::AnswerBody;
use crate::node::Node;

/// Serves one request. `record` holds the bytes that its head came in.
pub async fn relay(
    node: &Arc<Node>,
    request: Request<Incoming>,
    record: &[u8],
) -> Response<AnswerBody> {
    match intake::read(node, request, record).await {
        Ok(call) => search::serve(node, call).await,
        Err(refused) => {
            refused.log(node);
            refusal::response(&refused.failure)
        }
    }
}
