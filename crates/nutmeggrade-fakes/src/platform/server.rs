//! HTTP server of the fake platform.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use nutmeggrade_core::endpoint::Endpoint;
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, ResponseExt, Result, Router,
    types,
};

use super::{Faults, Store};
use crate::http::{serve as serve_http, status, truncated_response};

const MAX_VALUE_BYTES: u64 = 1 << 20;

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    faults: Faults,
    list_history: VecDeque<(Instant, Vec<Endpoint>)>,
    calls: u64,
    writes: u64,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Notify,
}

type App = Arc<Shared>;

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default = "no_limit")]
    limit: usize,
    #[serde(default)]
    since: u64,
    #[serde(default)]
    wait_ms: u64,
}

const fn no_limit() -> usize {
    usize::MAX
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn admit_call(&self) -> Option<Response> {
        let (down, slow) = {
            let mut inner = self.lock();
            inner.calls += 1;
            (inner.faults.down, inner.faults.slow_ms)
        };
        if slow > 0 {
            sleep(Duration::from_millis(slow)).await;
        }
        down.then(|| status(StatusCode::SERVICE_UNAVAILABLE))
    }
}

/// Serves the platform until the process ends.
pub async fn serve(address: SocketAddr) -> anyhow::Result<()> {
    let app = App::default();
    let router = Router::new()
        .get("/objects/:key+", read)
        .put("/objects/:key+", write)
        .delete("/objects/:key+", write)
        .get("/list", list)
        .get("/watch", watch)
        .get("/endpoints", endpoints)
        .put("/endpoints", register)
        .post("/fault", set_faults)
        .get("/calls", calls)
        .with(types::State::new(app));
    serve_http(address, router).await
}

fn app(req: &Request) -> App {
    req.state::<App>().unwrap_or_default()
}

async fn read(req: Request) -> Result<Response> {
    let app = app(&req);
    if let Some(unavailable) = app.admit_call().await {
        return Ok(unavailable);
    }
    let key: String = req.param("key")?;
    match app.lock().store.read(&key) {
        Some(object) => Ok(Response::json(object)?),
        None => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn write(mut req: Request) -> Result<Response> {
    let app = app(&req);
    if let Some(unavailable) = app.admit_call().await {
        return Ok(unavailable);
    }
    let key: String = req.param("key")?;
    let expected = match req.header::<_, u64>(header::IF_MATCH) {
        Some(version) => version,
        None if req.headers().contains_key(header::IF_NONE_MATCH) => 0,
        None => return Ok(status(StatusCode::PRECONDITION_REQUIRED)),
    };
    let body = req.bytes_with(None, MAX_VALUE_BYTES).await?;
    let value = serde_json::from_slice(&body).ok();
    if value.is_none() && req.method() == http::Method::PUT {
        return Ok(status(StatusCode::BAD_REQUEST));
    }
    let (written, lost) = {
        let mut inner = app.lock();
        inner.writes += 1;
        let written = inner.store.write(&key, expected, value);
        let lost = inner.faults.lose > 0;
        inner.faults.lose = inner.faults.lose.saturating_sub(1);
        (written, lost)
    };
    app.changed.notify_waiters();
    match written {
        _ if lost => Ok(truncated_response()),
        Some(object) => Ok(Response::json(object)?),
        None => Ok(status(StatusCode::PRECONDITION_FAILED)),
    }
}

async fn list(req: Request) -> Result<Response> {
    let app = app(&req);
    if let Some(unavailable) = app.admit_call().await {
        return Ok(unavailable);
    }
    let query: ListQuery = req.query()?;
    let changes = app.lock().store.list(&query.prefix, &query.after, query.limit);
    Ok(Response::json(changes)?)
}

async fn watch(req: Request) -> Result<Response> {
    let app = app(&req);
    if let Some(unavailable) = app.admit_call().await {
        return Ok(unavailable);
    }
    let query: ListQuery = req.query()?;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let changes = loop {
        let notified = app.changed.notified();
        let changes = app.lock().store.since(&query.prefix, query.since, query.limit);
        if !changes.objects.is_empty() || timeout_at(deadline, notified).await.is_err() {
            break changes;
        }
    };
    if app.lock().faults.down {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(Response::json(changes)?)
}

async fn endpoints(req: Request) -> Result<Response> {
    let app = app(&req);
    if let Some(unavailable) = app.admit_call().await {
        return Ok(unavailable);
    }
    let inner = app.lock();
    let delay = Duration::from_millis(inner.faults.lag_ms);
    let visible = inner.list_history.iter().rposition(|(at, _)| at.elapsed() >= delay).unwrap_or(0);
    // The empty list needs a tag that differs from the first registered list's.
    let revision = if inner.list_history.is_empty() { 0 } else { visible + 1 };
    let tag = format!("\"{revision}\"");
    if req.headers().get(header::IF_NONE_MATCH).is_some_and(|t| t.as_bytes() == tag.as_bytes()) {
        return Ok(status(StatusCode::NOT_MODIFIED));
    }
    let list = inner.list_history.get(visible).map(|(_, l)| l.clone()).unwrap_or_default();
    let mut response = Response::json(list)?;
    if let Ok(tag) = HeaderValue::try_from(tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

async fn register(mut req: Request) -> Result<Response> {
    let app = app(&req);
    let endpoint: Endpoint = req.json().await?;
    let mut inner = app.lock();
    let mut list = inner.list_history.back().map(|(_, l)| l.clone()).unwrap_or_default();
    list.retain(|e| e.id != endpoint.id);
    list.push(endpoint);
    inner.list_history.push_back((Instant::now(), list));
    Ok(StatusCode::OK.into_response())
}

async fn set_faults(mut req: Request) -> Result<Response> {
    let app = app(&req);
    let faults: Faults = req.json().await?;
    app.lock().faults = faults;
    app.changed.notify_waiters();
    Ok(StatusCode::OK.into_response())
}

async fn calls(req: Request) -> Result<Response> {
    let app = app(&req);
    let inner = app.lock();
    let counts = serde_json::json!({ "calls": inner.calls, "writes": inner.writes });
    Ok(Response::json(counts)?)
}
