//! What a client gets whose request is not answered by an endpoint.

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::invariant;
use nutmeggrade_wire::answer;

use crate::answer_body::AnswerBody;
use crate::node::Node;

/// Statuses by which a client takes it that its request did not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request that was refused before it became a [`super::call::Call`].
#[derive(Debug)]
pub struct Refused {
    /// Id of the client's attempt, if it could be read.
    pub id: Option<RequestId>,
    /// Why.
    pub failure: Failure,
}

impl Refused {
    /// Writes and counts it.
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

/// Counts an outcome.
pub fn count(node: &Node, outcome: &str, code: Code) {
    node.metrics.requests.with_label_values(&[outcome, &code.number().to_string()]).inc();
}

/// Makes the answer of a failure. A status that promises that the request did not run is only given
/// when it did not.
pub fn response(failure: &Failure) -> Response<AnswerBody> {
    let wanted = StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let is_promise = PROMISES.contains(&wanted);
    invariant::check(!is_promise || failure.run == Run::NotRun, "not_run_is_true");
    let status =
        if is_promise && failure.run != Run::NotRun { StatusCode::BAD_GATEWAY } else { wanted };
    // Codes, texts and durations always have a JSON form.
    let body = serde_json::to_vec(failure).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HeaderName::from_static(CODE_HEADER), HeaderValue::from(failure.code.number()));
    if let Some(wait) = failure.retry_after {
        answer::write_retry_after(headers, wait);
    }
    if matches!(failure.code, Code::BadFraming | Code::BodyTooLarge | Code::BodyTimeout) {
        // Where the next request begins on this connection is not known.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
