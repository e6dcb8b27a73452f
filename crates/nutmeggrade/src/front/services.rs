//! `POST /v1/services/{service}/{operation}`: calls of plain services.

use std::sync::Arc;

use http::{HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use viz::{Body, Request, RequestExt, RequestLimitsExt, Response};

use super::caller::{self, Caller};
use super::reply;
use crate::node::Node;
use crate::service::{Answer, Call, run_idempotent, run_once};
use crate::tables::lock;

const PATH: &str = "services";
const KEY: &str = "idempotency-key";
const REPLAYED: HeaderName = HeaderName::from_static("nutmeggrade-replayed");

/// Answers one call of a plain service.
pub async fn post<P: Platform>(mut req: Request) -> reply::Reply {
    let node = super::node::<P>(&req)?;
    let body = req.bytes_with(None, node.settings.body).await;
    let result = match body {
        Ok(body) => serve(&node, &req, body).await.map_err(|f| keyed(&req, f)),
        Err(error) => Err(Failure::new(Code::BodyTooLarge, &error.to_string())),
    };
    let code = reply::success(&result);
    node.metrics.requests.with_label_values(&[PATH, &code.to_string()]).inc();
    if let Err(f) = &result {
        let path = req.path();
        tracing::info!(event = "call", path, code, run = f.run.as_str(), detail = f.detail);
    }
    Ok(result.map_or_else(|f| super::failure(&f), |a| response(&a)))
}

async fn serve<P: Platform>(
    node: &Arc<Node<P>>,
    req: &Request,
    body: bytes::Bytes,
) -> Result<Answer, Failure> {
    let headers = req.headers();
    caller::workspace(headers)?;
    let call = call(node, req, body)?;
    let class = class(node, &call)?;
    if let Err(error) = serde_json::from_slice::<serde::de::IgnoredAny>(&call.body) {
        return Err(Failure::new(Code::BadJson, &format!("body: {error}")));
    }
    if class.idempotent {
        node.may_work()?;
        return run_idempotent(node, &call).await;
    }
    let Some(key) = caller::text(headers, KEY) else {
        let detail = format!("{} may not be repeated and needs {KEY}", call.operation);
        return Err(Failure::new(Code::KeyMissing, &detail));
    };
    let key =
        RequestId::new(key).map_err(|e| Failure::new(Code::BadHeader, &format!("{KEY}: {e}")))?;
    node.may_work()?;
    run_once(node, &call, &key).await
}

/// Corrects what is said of the run of a request that has a key and was refused before its record was
/// looked at.
///
/// An earlier attempt with the same key may have run elsewhere. Told "not run", a caller would draw a
/// new key and run the call a second time. Only a request that no instance can ever accept keeps
/// "not run".
fn keyed(req: &Request, failure: Failure) -> Failure {
    let state = matches!(
        failure.code,
        Code::UnknownService
            | Code::UnknownOperation
            | Code::BadDeadline
            | Code::Leaving
            | Code::NotReady
            | Code::Fenced
    );
    if state && req.headers().contains_key(KEY) { failure.with_run(Run::Unknown) } else { failure }
}

fn call<P: Platform>(node: &Node<P>, req: &Request, body: bytes::Bytes) -> Result<Call, Failure> {
    let service = req.param::<String>("service").unwrap_or_default();
    let operation = req.param::<String>("operation").unwrap_or_default();
    let unknown = |_| Failure::new(Code::UnknownService, &format!("no service {service:?}"));
    let service = ServiceId::new(&service).map_err(unknown)?;
    let config = lock(&node.tables.config).current();
    let preset = config.as_ref().and_then(|c| c.preset());
    let usual = preset.map(|p| p.limits.call_deadline).unwrap_or_default();
    let task = TaskId::new(PATH).map_err(|e| Failure::new(Code::UnknownTask, &e.to_string()))?;
    let caller = Caller::read(req.headers(), &task, usual, node.now())?;
    Ok(Call { caller, service, operation, body })
}

fn class<P: Platform>(
    node: &Node<P>,
    call: &Call,
) -> Result<nutmeggrade_core::config::OperationClass, Failure> {
    let config = lock(&node.tables.config).current();
    let Some(preset) = config.as_ref().and_then(|c| c.preset()) else {
        return Err(Failure::new(Code::NotReady, "no preset in force"));
    };
    let Some(operations) = preset.services.get(&call.service) else {
        let detail = format!("no service {}", call.service);
        return Err(Failure::new(Code::UnknownService, &detail));
    };
    operations.get(&call.operation).copied().ok_or_else(|| {
        let detail = format!("{} has no operation {:?}", call.service, call.operation);
        Failure::new(Code::UnknownOperation, &detail)
    })
}

fn response(answer: &Answer) -> Response {
    let mut response = Response::new(Body::Full(Full::from(answer.body.clone())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content = answer.content.as_deref().and_then(|c| HeaderValue::from_str(c).ok());
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, content.unwrap_or(json));
    if answer.replayed {
        headers.insert(REPLAYED, HeaderValue::from_static("true"));
    }
    response
}
