//! Answers to callers.

use http::{HeaderName, HeaderValue, StatusCode, header};
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use serde::Serialize;
use viz::{Request, Response, ResponseExt};

/// What a handler gives back.
pub type Reply = viz::Result<Response>;

/// Code that metrics and logs show for success.
const SUCCESS: u16 = 0;

/// Makes the answer of a failure: JSON body, HTTP status and Retry-After to match.
pub fn failure(failure: &Failure) -> Response {
    let mut response = json(failure);
    let status = StatusCode::from_u16(failure.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(HeaderName::from_static(CODE_HEADER), HeaderValue::from(failure.code.number()));
    if let Some(wait) = failure.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Makes a JSON answer.
pub fn json<T: Serialize>(value: &T) -> Response {
    Response::json(value).unwrap_or_default()
}

/// Names the request in the answer, so that a caller can ask operators about it.
pub fn with_request(mut response: Response, request: Option<&RequestId>) -> Response {
    let value = request.and_then(|r| HeaderValue::from_str(r.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(crate::caller::REQUEST, value);
    }
    response
}

/// Returns the code of a result for metrics and logs.
pub fn success<T>(result: &Result<T, Failure>) -> u16 {
    result.as_ref().map_or_else(|f| f.code.number(), |_| SUCCESS)
}

/// Answers a path that does not exist.
pub async fn not_found(req: Request) -> Reply {
    let detail = format!("no path {}", req.uri().path());
    Ok(failure(&Failure::new(Code::NotFound, &detail)))
}
