//! Client of the model engines.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nutmeggrade_core::engine::{EngineStatus, GENERATIONS_PATH, GenerateRequest, LOAD_PATH, Token};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{
    CallError, CallTimeouts, ResponseBody, body_bytes, call, call_if, json_body,
};
use tokio::time::timeout;

use crate::event_bytes::EventBytes;

/// Idle time after which a connection for load reports closes; longer than the report interval.
const REPORT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Reason why a stream can't be resumed.
#[derive(Debug)]
pub enum ResumeError {
    /// The engine does not have the generation.
    Gone,
    /// The request failed otherwise.
    Failed(anyhow::Error),
}

/// Reason why a generation was not started.
#[derive(Debug)]
pub enum StartError {
    /// Certainly not run: the request was not sent, or the engine refused it.
    NotRun(anyhow::Error),
    /// The engine has read the request and was silent for too long.
    Silent,
    /// The request was sent, and it is unknown whether it ran.
    Unknown(anyhow::Error),
}

/// Stream of an engine's tokens; an error or an early end means that the connection broke.
pub struct Tokens {
    events: Pin<Box<eventsource_stream::EventStream<EventBytes>>>,
    unfinished: Arc<AtomicUsize>,
}

impl std::fmt::Debug for Tokens {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Tokens")
    }
}

impl Tokens {
    fn new(body: ResponseBody) -> Self {
        let bytes = EventBytes::new(body);
        let unfinished = bytes.unfinished();
        Self { events: Box::pin(bytes.eventsource()), unfinished }
    }

    /// Waits for the next token.
    pub async fn next(&mut self) -> anyhow::Result<Option<Token>> {
        let Some(event) = self.events.as_mut().next().await else { return Ok(None) };
        self.unfinished.store(0, Ordering::Relaxed);
        let event = event.map_err(|e| anyhow::anyhow!("read stream: {e}"))?;
        let token = serde_json::from_str(&event.data).context("decode token")?;
        Ok(Some(token))
    }

    /// Returns bounds on the number of remaining events.
    pub fn size_hint(&self) -> (usize, Option<usize>) {
        self.events.size_hint()
    }
}

/// Client of the model engines.
///
/// Each call opens its own connection, except for load reports: these reuse connections, since
/// requesting a report twice is harmless.
#[derive(Debug, Clone)]
pub struct EngineClient {
    connect_timeout: Duration,
    report_client: Client<HttpConnector, Full<bytes::Bytes>>,
}

impl EngineClient {
    /// Creates a client that waits at most `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let report_client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(REPORT_IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { connect_timeout, report_client }
    }

    /// Starts a generation at an engine that may be silent for the time `silence` once it has read the
    /// request; `may_send` can still refuse immediately before the request is sent.
    pub async fn start(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
        silence: Duration,
        may_send: impl FnOnce() -> anyhow::Result<()>,
    ) -> Result<Tokens, StartError> {
        let body = json_body(request).map_err(StartError::NotRun)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(GENERATIONS_PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|e| StartError::NotRun(e.into()))?;
        let timeouts = CallTimeouts { connect: self.connect_timeout, silence };
        let response = match call_if(address, request, timeouts, may_send).await {
            Ok(response) => response,
            Err(CallError::Silent) => return Err(StartError::Silent),
            Err(e) if e.not_sent() => return Err(StartError::NotRun(e.into())),
            Err(e) => return Err(StartError::Unknown(e.into())),
        };
        let status = response.status();
        let error = anyhow::anyhow!("engine answered {status}");
        match status {
            s if s.is_success() => Ok(Tokens::new(response.into_body())),
            // A gateway or a crashing engine may respond with 500 or 502 after the work began.
            s if s.is_client_error() || s == StatusCode::SERVICE_UNAVAILABLE => {
                Err(StartError::NotRun(error))
            }
            _ => Err(StartError::Unknown(error)),
        }
    }

    /// Resumes a generation from an offset.
    pub async fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        from: u64,
    ) -> Result<Tokens, ResumeError> {
        let path = format!("{GENERATIONS_PATH}/{generation}?from={from}");
        let request = empty_request(Method::GET, &path, address).map_err(ResumeError::Failed)?;
        let response = call(address, request, self.connect_timeout)
            .await
            .map_err(|e| ResumeError::Failed(e.into()))?;
        match response.status() {
            s if s.is_success() => Ok(Tokens::new(response.into_body())),
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(ResumeError::Gone),
            s => Err(ResumeError::Failed(anyhow::anyhow!("engine answered {s}"))),
        }
    }

    /// Cancels a generation at its engine.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> anyhow::Result<()> {
        let path = format!("{GENERATIONS_PATH}/{generation}");
        let request = empty_request(Method::DELETE, &path, address)?;
        let response = call(address, request, self.connect_timeout).await?;
        anyhow::ensure!(response.status().is_success(), "engine answered {}", response.status());
        Ok(())
    }

    /// Requests the load report and whether the engine is leaving; `limit` bounds the whole
    /// exchange.
    pub async fn load_report(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> anyhow::Result<EngineStatus> {
        let uri = format!("http://{address}{LOAD_PATH}");
        let request = Request::builder().uri(uri).body(Full::default()).context("build request")?;
        let exchange = async {
            let response = self.report_client.request(request).await.context("load report")?;
            let status = response.status();
            anyhow::ensure!(status.is_success(), "engine answered {status}");
            let body = body_bytes(response.into_body(), MAX_REPORT_BYTES).await?;
            serde_json::from_slice(&body).context("decode load report")
        };
        timeout(limit, exchange).await.context("load report: timeout")?
    }
}

fn empty_request(
    method: Method,
    path: &str,
    address: SocketAddr,
) -> anyhow::Result<Request<Full<bytes::Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .context("build request")
}
