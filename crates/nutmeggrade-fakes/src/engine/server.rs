//! The engine's HTTP side.

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

use super::follow::follow;
use super::{Engine, Faults, Refusal};
use crate::http::{serve as serve_http, status};

/// Largest request body, in bytes.
const MAX_BODY: u64 = 8 << 20;

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

type App = Arc<Engine>;

/// Runs an engine until the process ends.
pub async fn serve(address: SocketAddr, engine: Engine) -> anyhow::Result<()> {
    let app = Arc::new(engine);
    tokio::spawn(Arc::clone(&app).run());
    let one = format!("{GENERATIONS_PATH}/:id");
    let router = Router::new()
        .post(GENERATIONS_PATH, generate)
        .get(&one, resume)
        .delete(&one, cancel)
        .get(LOAD_PATH, load)
        .get(CACHE_EVENTS_PATH, cache_events)
        .get("/log", log)
        .get(ORDERS_PATH, order_state)
        .post(ORDERS_PATH, order)
        .post("/fault", fault)
        .with(State::new(app));
    serve_http(address, router).await
}

fn app(req: &Request) -> Result<App> {
    req.state::<App>().ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

async fn generate(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let body = req.bytes_with(None, MAX_BODY).await?;
    let Ok(order) = serde_json::from_slice::<GenerateRequest>(&body) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let hangs = {
        let inner = app.lock();
        inner.faults.hang == Some(true) && !inner.refuses()
    };
    if hangs {
        futures::future::pending::<()>().await;
    }
    match app.submit(&order) {
        Ok(()) => Ok(Sse::new(follow(app, order.generation, 0)).into_response()),
        Err(Refusal::Down) => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        Err(Refusal::Known) => Ok(status(StatusCode::CONFLICT)),
    }
}

async fn resume(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let query: From = req.query()?;
    let id = GenerationId::parse(&req.param::<String>("id")?);
    let Some(id) = id.filter(|id| app.lock().answers.get(id).is_some_and(|a| !a.lost)) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    let rewind = app.lock().faults.rewind == Some(true);
    let from = if rewind { 0 } else { query.from };
    Ok(Sse::new(follow(app, id, from)).into_response())
}

async fn cancel(req: Request) -> Result<Response> {
    let app = app(&req)?;
    if let Some(id) = GenerationId::parse(&req.param::<String>("id")?) {
        let mut inner = app.lock();
        inner.model.cancel(id);
        inner.answers.remove(&id);
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
    let query: After = req.query()?;
    let events = app.lock().cache.after(query.after, app.now());
    Ok(Response::json(events)?)
}

async fn log(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let inner = app.lock();
    let load = inner.model.load(app.now());
    let report = json!({
        "runs": inner.runs,
        "cold_peak": inner.model.cold_peak(),
        "crashes": inner.model.crashes(),
        "preemptions": load.preemptions,
        "running": load.running,
        "orders": inner.orders.seen,
    });
    Ok(Response::json(report)?)
}

async fn order_state(req: Request) -> Result<Response> {
    let app = app(&req)?;
    let state = app.lock().orders.state();
    Ok(Response::json(state)?)
}

async fn order(mut req: Request) -> Result<Response> {
    let app = app(&req)?;
    let order: FencedOrder = req.json().await?;
    let taken = app.lock().orders.take(&order);
    Ok(status(if taken { StatusCode::OK } else { StatusCode::CONFLICT }))
}

async fn fault(mut req: Request) -> Result<Response> {
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
            inner.take(event);
        }
    }
    if let Some(ignores) = new.ignore_fence {
        inner.orders.ignores_fence = ignores;
    }
    if let Some(ms) = new.load_ms {
        inner.orders.load_time = Duration::from_millis(ms);
    }
    if new.cut_after.is_some() || new.stall_after.is_some() {
        inner.cuts += 1;
    }
    inner.faults = new;
    Ok(StatusCode::OK.into_response())
}
