//! HTTP server of the fake plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, types};

use super::Faults;
use crate::http::{serve as serve_http, status, truncated_response};

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    run_counts: BTreeMap<String, u64>,
    total_runs: u64,
}

type App = Arc<Mutex<Inner>>;

/// Serves the service until the process ends.
///
/// `POST /call/{operation}` runs a call and counts it under the body's `subject`; `GET /log`
/// returns how often each `operation/subject` ran.
pub async fn serve(address: SocketAddr) -> anyhow::Result<()> {
    let router = Router::new()
        .post("/call/:operation", run)
        .get("/log", run_log)
        .post("/fault", set_faults)
        .with(types::State::new(App::default()));
    serve_http(address, router).await
}

fn app(req: &Request) -> App {
    req.state::<App>().unwrap_or_default()
}

fn lock(app: &App) -> MutexGuard<'_, Inner> {
    app.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(mut req: Request) -> Result<Response> {
    let app = app(&req);
    let operation: String = req.param("operation")?;
    let body: Value = req.json().await?;
    let faults = lock(&app).faults.clone();
    sleep(Duration::from_millis(faults.before_ms)).await;
    if faults.refuse {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let subject = body.get("subject").and_then(Value::as_str).unwrap_or("none");
    let (run_number, lost) = {
        let mut inner = lock(&app);
        inner.total_runs += 1;
        *inner.run_counts.entry(format!("{operation}/{subject}")).or_default() += 1;
        let lost = inner.faults.lose > 0;
        inner.faults.lose = inner.faults.lose.saturating_sub(1);
        (inner.total_runs, lost)
    };
    sleep(Duration::from_millis(faults.after_ms)).await;
    if lost {
        return Ok(truncated_response());
    }
    let response = json!({ "operation": operation, "subject": subject, "number": run_number });
    Ok(Response::json(response)?)
}

async fn run_log(req: Request) -> Result<Response> {
    let app = app(&req);
    let run_counts = lock(&app).run_counts.clone();
    Ok(Response::json(run_counts)?)
}

async fn set_faults(mut req: Request) -> Result<Response> {
    let app = app(&req);
    let faults: Faults = req.json().await?;
    lock(&app).faults = faults;
    Ok(StatusCode::OK.into_response())
}
