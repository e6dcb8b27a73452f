//! `POST /v1/services/{service}/{operation}`: calls of plain services.

use std::sync::Arc;

use http::{HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use viz::{Body, Request, RequestExt, Response};

use super::{body, reply};
use crate::caller::{self, Caller};
use crate::node::Node;
use crate::service::{Call, ServiceResponse, run_idempotent, run_once, with_unknown_run};
use crate::tables::lock;

const PATH: &str = "services";
const KEY_HEADER: &str = "idempotency-key";
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("nutmeggrade-replayed");

/// Handles one call of a plain service.
pub async fn post<P: Platform>(mut req: Request) -> reply::Reply {
    let node = super::node::<P>(&req)?;
    caller::ensure_request_id(req.headers_mut());
    let result = match body::read(&node, &mut req, node.settings.max_body()).await {
        Ok(body) => serve(&node, &req, body).await,
        Err(failure) => Err(failure),
    };
    let code = reply::result_code(&result);
    node.metrics.requests.with_label_values(&[PATH, &code.to_string()]).inc();
    let request = caller::request(req.headers()).ok();
    if let Some(request) = &request {
        let workspace = caller::header_text(req.headers(), caller::WORKSPACE_HEADER).unwrap_or("");
        let run = result.as_ref().map_or_else(|f| f.run, |_| RunStatus::Ran);
        let reason = result.as_ref().map_or_else(|f| f.detail.as_str(), |_| "");
        let detail = format!("path={} run={} {reason}", req.path(), run.as_str());
        node.record_end(request, workspace, code, &detail);
    }
    let response = result.map_or_else(|f| super::failure(&f), |a| response(&a));
    Ok(reply::with_request(response, request.as_ref()))
}

async fn serve<P: Platform>(
    node: &Arc<Node<P>>,
    req: &Request,
    body: bytes::Bytes,
) -> Result<ServiceResponse, Failure> {
    let headers = req.headers();
    caller::workspace(headers)?;
    let call = call(node, req, body)?;
    let operation_class = operation_class(node, &call)?;
    if let Err(error) = serde_json::from_slice::<serde::de::IgnoredAny>(&call.body) {
        return Err(Failure::new(Code::BadJson, &format!("body: {error}")));
    }
    if operation_class.idempotent {
        node.check_ready()?;
        node.check_end(call.caller.deadline)?;
        return run_idempotent(node, &call).await;
    }
    let Some(key) = caller::header_text(headers, KEY_HEADER) else {
        let detail = format!("{} may not be repeated and needs {KEY_HEADER}", call.operation);
        return Err(Failure::new(Code::KeyMissing, &detail));
    };
    let key = RequestId::new(key)
        .map_err(|e| Failure::new(Code::BadHeader, &format!("{KEY_HEADER}: {e}")))?;
    node.check_ready().map_err(with_unknown_run)?;
    node.check_end(call.caller.deadline).map_err(with_unknown_run)?;
    run_once(node, &call, &key).await
}

fn call<P: Platform>(node: &Node<P>, req: &Request, body: bytes::Bytes) -> Result<Call, Failure> {
    let service = req.param::<String>("service").unwrap_or_default();
    let operation = req.param::<String>("operation").unwrap_or_default();
    let unknown = |_| Failure::new(Code::UnknownService, &format!("no service {service:?}"));
    let service = ServiceId::new(&service).map_err(unknown)?;
    let config = lock(&node.tables.config).current();
    let preset = config.as_ref().and_then(|c| c.preset());
    let default_deadline = preset.map(|p| p.limits.call_deadline).unwrap_or_default();
    let task = TaskId::new(PATH).map_err(|e| Failure::new(Code::UnknownTask, &e.to_string()))?;
    let caller = Caller::read(req.headers(), &task, default_deadline, node.now())?;
    let memory = body::memory(req)?;
    Ok(Call { caller, service, operation, body, memory })
}

fn operation_class<P: Platform>(
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

fn response(service_response: &ServiceResponse) -> Response {
    let mut response = Response::new(Body::Full(Full::from(service_response.body.clone())));
    *response.status_mut() =
        StatusCode::from_u16(service_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type =
        service_response.content_type.as_deref().and_then(|c| HeaderValue::from_str(c).ok());
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, content_type.unwrap_or(json));
    if service_response.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}
