//! Builds, logs and counts the failure responses that this instance sends itself.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::invariant;
use nutmeggrade_wire::answer;

use crate::answer_body::AnswerBody;
use crate::node::Node;

/// Statuses that tell a client that its request did not run and will not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request that was refused before it became a [`super::client_request::ClientRequest`].
#[derive(Debug)]
pub struct RefusedRequest {
    /// Id of the client's attempt, if it could be read.
    pub id: Option<RequestId>,
    /// The reason.
    pub failure: Failure,
}

impl RefusedRequest {
    /// Logs and counts the refusal.
    pub fn log(&self, node: &Node) {
        let code = self.failure.code;
        let id = self.id.as_ref().map_or("-", RequestId::as_str);
        tracing::info!(
            event = "refused",
            request = id,
            code = code.number(),
            name = code.name(),
            run = self.failure.run.as_str(),
            config = node.map().version,
            why = self.failure.detail
        );
        count(node, "refused", code);
    }
}

/// Counts a request that ended with a failure.
pub fn count(node: &Node, outcome: &str, code: Code) {
    node.metrics.requests.with_label_values(&[outcome, &code.number().to_string()]).inc();
}

/// Builds the response for a failure. A status that means "did not run" is replaced by 502 unless
/// the request is known not to have run.
pub fn response(failure: &Failure) -> Response<AnswerBody> {
    let code_status =
        StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let means_not_run = NOT_RUN_STATUSES.contains(&code_status);
    invariant::check(!means_not_run || failure.run == RunStatus::NotRun, "not_run_is_true");
    let status = if means_not_run && failure.run != RunStatus::NotRun {
        StatusCode::BAD_GATEWAY
    } else {
        code_status
    };
    // A failure holds only codes, texts and durations, so serialization cannot fail.
    let body = serde_json::to_vec(failure).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HeaderName::from_static(CODE_HEADER), HeaderValue::from(failure.code.number()));
    if let Some(delay) = failure.retry_after {
        answer::write_retry_after(headers, delay);
    }
    if matches!(
        failure.code,
        Code::BadFraming
            | Code::BodyTooLarge
            | Code::BodyTimeout
            | Code::MemoryFull
            | Code::TooManyConnections
    ) {
        // The start of the next request on this connection is unknown, or its body is dropped.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
