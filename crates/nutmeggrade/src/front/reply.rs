//! Responses to callers.

use http::{HeaderName, HeaderValue, StatusCode, header};
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use serde::Serialize;
use viz::{Request, Response, ResponseExt};

/// Result of a handler.
pub type Reply = viz::Result<Response>;

/// Code for success in metrics and logs.
const SUCCESS_CODE: u16 = 0;

/// Creates the response for a failure: JSON body, HTTP status and `Retry-After` header.
pub fn failure(failure: &Failure) -> Response {
    let mut response = json(failure);
    let status = StatusCode::from_u16(failure.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(HeaderName::from_static(CODE_HEADER), HeaderValue::from(failure.code.number()));
    if let Some(retry_after) = failure.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Creates a JSON response.
pub fn json<T: Serialize>(value: &T) -> Response {
    Response::json(value).unwrap_or_default()
}

/// Adds the request id to a response, so that callers can refer to it.
pub fn with_request(mut response: Response, request: Option<&RequestId>) -> Response {
    let value = request.and_then(|r| HeaderValue::from_str(r.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(crate::caller::REQUEST_HEADER, value);
    }
    response
}

/// Returns the code of a result for metrics and logs.
pub fn result_code<T>(result: &Result<T, Failure>) -> u16 {
    result.as_ref().map_or_else(|f| f.code.number(), |_| SUCCESS_CODE)
}

/// Handles an unknown path.
pub async fn not_found(req: Request) -> Reply {
    let detail = format!("no path {}", req.uri().path());
    Ok(failure(&Failure::new(Code::NotFound, &detail)))
}
