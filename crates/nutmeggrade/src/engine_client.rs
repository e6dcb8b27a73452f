//! Client of the model engines.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use anyhow::Context;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nutmeggrade_core::engine::{EngineStatus, GENERATIONS_PATH, GenerateRequest, LOAD_PATH, Token};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{body_bytes, call, call_if, json_body};
use tokio::time::timeout;

/// How long a connection for load reports is kept: longer than the time between two.
const REPORT_IDLE: Duration = Duration::from_secs(30);
/// Largest load report, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// Why an engine did not start or resume a stream.
#[derive(Debug)]
pub enum EngineError {
    /// It does not know the generation.
    Gone,
    /// Anything else.
    Failed(anyhow::Error),
}

/// Why an engine did not start a generation.
#[derive(Debug)]
pub enum StartError {
    /// Proved not to have run: no connection was made, or the engine refused.
    NotRun(anyhow::Error),
    /// The order was handed over and its fate is unknown.
    Unknown(anyhow::Error),
}

/// Tokens as an engine sends them; an error or an early end means the connection broke.
pub struct Tokens {
    events: Pin<Box<eventsource_stream::EventStream<BodyDataStream<Incoming>>>>,
}

impl std::fmt::Debug for Tokens {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Tokens")
    }
}

impl Tokens {
    fn new(body: Incoming) -> Self {
        Self { events: Box::pin(BodyDataStream::new(body).eventsource()) }
    }

    /// Waits for the next token.
    pub async fn next(&mut self) -> anyhow::Result<Option<Token>> {
        let Some(event) = self.events.as_mut().next().await else { return Ok(None) };
        let event = event.map_err(|e| anyhow::anyhow!("read stream: {e}"))?;
        let token = serde_json::from_str(&event.data).context("decode token")?;
        Ok(Some(token))
    }

    /// Returns bounds on the events that are left.
    pub fn size_hint(&self) -> (usize, Option<usize>) {
        self.events.size_hint()
    }
}

/// Client of the model engines.
///
/// Each call has a connection of its own, but for load reports: asking for one twice does no harm.
#[derive(Debug, Clone)]
pub struct EngineClient {
    connect: Duration,
    reports: Client<HttpConnector, Full<bytes::Bytes>>,
}

impl EngineClient {
    /// Makes a client that waits at most `connect` for a connection.
    pub fn new(connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let reports = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(REPORT_IDLE)
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { connect, reports }
    }

    /// Starts a generation if `may_send` agrees immediately before the order goes out.
    pub async fn start(
        &self,
        address: SocketAddr,
        order: &GenerateRequest,
        may_send: impl FnOnce() -> anyhow::Result<()>,
    ) -> Result<Tokens, StartError> {
        let body = json_body(order).map_err(StartError::NotRun)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(GENERATIONS_PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|e| StartError::NotRun(e.into()))?;
        let response = match call_if(address, request, self.connect, may_send).await {
            Ok(response) => response,
            Err(e) if e.not_sent() => return Err(StartError::NotRun(e.into())),
            Err(e) => return Err(StartError::Unknown(e.into())),
        };
        let status = response.status();
        let error = anyhow::anyhow!("engine answered {status}");
        match status {
            s if s.is_success() => Ok(Tokens::new(response.into_body())),
            // A gateway's or a dying engine's 500 or 502 may come after the work began.
            s if s.is_client_error() || s == StatusCode::SERVICE_UNAVAILABLE => {
                Err(StartError::NotRun(error))
            }
            _ => Err(StartError::Unknown(error)),
        }
    }

    /// Takes up a generation again from an offset.
    pub async fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        from: u64,
    ) -> Result<Tokens, EngineError> {
        let path = format!("{GENERATIONS_PATH}/{generation}?from={from}");
        let request = bodiless(Method::GET, &path, address).map_err(EngineError::Failed)?;
        let response = call(address, request, self.connect)
            .await
            .map_err(|e| EngineError::Failed(e.into()))?;
        match response.status() {
            s if s.is_success() => Ok(Tokens::new(response.into_body())),
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(EngineError::Gone),
            s => Err(EngineError::Failed(anyhow::anyhow!("engine answered {s}"))),
        }
    }

    /// Cancels a generation.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> anyhow::Result<()> {
        let path = format!("{GENERATIONS_PATH}/{generation}");
        let request = bodiless(Method::DELETE, &path, address)?;
        let response = call(address, request, self.connect).await?;
        anyhow::ensure!(response.status().is_success(), "engine answered {}", response.status());
        Ok(())
    }

    /// Asks for the load and whether the engine stays; `wait` bounds the whole exchange.
    pub async fn standing(
        &self,
        address: SocketAddr,
        wait: Duration,
    ) -> anyhow::Result<EngineStatus> {
        let uri = format!("http://{address}{LOAD_PATH}");
        let request = Request::builder().uri(uri).body(Full::default()).context("build request")?;
        let exchange = async {
            let response = self.reports.request(request).await.context("load report")?;
            let status = response.status();
            anyhow::ensure!(status.is_success(), "engine answered {status}");
            let body = body_bytes(response.into_body(), MAX_REPORT).await?;
            serde_json::from_slice(&body).context("decode load report")
        };
        timeout(wait, exchange).await.context("load report: timeout")?
    }
}

fn bodiless(
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
