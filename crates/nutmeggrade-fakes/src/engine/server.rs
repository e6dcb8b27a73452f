//! HTTP server of the fake engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use nutmeggrade_core::engine::{
    CACHE_EVENTS_PATH, EngineStatus, GENERATIONS_PATH, GenerateRequest, LOAD_PATH, LoadReport,
};
use nutmeggrade_core::id::GenerationId;
use nutmeggrade_core::order::{FencedOrder, ORDERS_PATH};
use serde::Deserialize;
use serde_json::json;
use viz::types::{Sse, State};
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, ResponseExt, Result, Router,
};

use super::token_stream::token_stream;
use super::{Engine, Faults, Refusal};
use crate::http::{serve as serve_http, status};

const MAX_BODY_BYTES: u64 = 8 << 20;

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Debug, Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

type App = Arc<Engine>;

/// Serves the engine until the process ends.
pub async fn serve(address: SocketAddr, engine: Engine) -> anyhow::Result<()> {
    let app = Arc::new(engine);
    tokio::spawn(Arc::clone(&app).run());
    let generation_path = format!("{GENERATIONS_PATH}/:id");
    let router = Router::new()
        .post(GENERATIONS_PATH, generate)
        .get(&generation_path, resume)
        .delete(&generation_path, cancel)
        .get(LOAD_PATH, load)
        .get(CACHE_EVENTS_PATH, cache_events)
        .get("/log", event_log)
        .get(ORDERS_PATH, order_state)
        .post(ORDERS_PATH, receive_order)
        .post("/fault", set_faults)
        .with(State::new(app));
    serve_http(address, router).await
}

fn app(req: &Request) -> Result<App> {
    req.state::<App>().ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

async fn generate(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let body = req.bytes_with(None, MAX_BODY_BYTES).await?;
    let Ok(request) = serde_json::from_slice::<GenerateRequest>(&body) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let hangs = {
        let inner = app.lock();
        inner.faults.hang == Some(true) && !inner.refuses()
    };
    if hangs {
        futures::future::pending::<()>().await;
    }
    match app.submit(&request) {
        Ok(()) => Ok(Sse::new(token_stream(app, request.generation, 0)).into_response()),
        Err(Refusal::Down) => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        Err(Refusal::Duplicate) => Ok(status(StatusCode::CONFLICT)),
    }
}

async fn resume(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let query: ResumeQuery = req.query()?;
    let id = GenerationId::parse(&req.param::<String>("id")?);
    let Some(id) = id.filter(|id| app.lock().outputs.get(id).is_some_and(|a| !a.lost)) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    let rewind = app.lock().faults.rewind == Some(true);
    let from = if rewind { 0 } else { query.from };
    Ok(Sse::new(token_stream(app, id, from)).into_response())
}

async fn cancel(req: Request) -> Result<Response> {
    let app = app(&req)?;
    if let Some(id) = GenerationId::parse(&req.param::<String>("id")?) {
        let mut inner = app.lock();
        inner.model.cancel(id);
        inner.outputs.remove(&id);
    }
    Ok(StatusCode::OK.into_response())
}

async fn load(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let inner = app.lock();
    if inner.is_down() {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let Some((at, report)) = inner.reports.front() else {
        return Ok(Response::json(inner.model.load(app.now()))?);
    };
    let load = LoadReport { age: at.elapsed(), ..report.clone() };
    let leaving = inner.faults.leaving == Some(true);
    Ok(Response::json(EngineStatus { load, leaving })?)
}

async fn cache_events(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let query: CacheEventsQuery = req.query()?;
    let events = app.lock().cache.after(query.after, app.now());
    Ok(Response::json(events)?)
}

async fn event_log(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let inner = app.lock();
    let load = inner.model.load(app.now());
    let report = json!({
        "runs": inner.runs,
        "cold_peak": inner.model.cold_peak(),
        "crashes": inner.model.crashes(),
        "preemptions": load.preemptions,
        "running": load.running,
        "orders": inner.orders.history,
    });
    Ok(Response::json(report)?)
}

async fn order_state(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let state = app.lock().orders.state();
    Ok(Response::json(state)?)
}

async fn receive_order(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let order: FencedOrder = req.json().await?;
    let applied = app.lock().orders.apply(&order);
    Ok(status(if applied { StatusCode::OK } else { StatusCode::CONFLICT }))
}

async fn set_faults(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let new: Faults = req.json().await?;
    let now = app.now();
    let mut inner = app.lock();
    match new.cold {
        Some(true) => inner.model.set_cold(now),
        Some(false) => inner.model.set_warm(),
        None => {}
    }
    if let Some(factor) = new.slow {
        inner.model.set_slow(factor);
    }
    if new.crash == Some(true) {
        for event in inner.model.crash(now) {
            inner.apply(event);
        }
    }
    if let Some(ignores) = new.ignore_fence {
        inner.orders.ignores_fence = ignores;
    }
    if let Some(ms) = new.load_ms {
        inner.orders.load_time = Duration::from_millis(ms);
    }
    if new.cut_after.is_some() || new.stall_after.is_some() {
        inner.cut_count += 1;
    }
    inner.faults = new;
    Ok(StatusCode::OK.into_response())
}
