//! Streams whose tokens' arrivals are noted.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{Method, Request, header};
use http_body_util::{BodyDataStream, Full};
use nutmeggrade_core::engine::GENERATIONS_PATH;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::MODEL;
use nutmeggrade_platform::call;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::Instant;

const CONNECT: Duration = Duration::from_secs(5);

/// When the tokens of one answer came.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Time from the request to the first token.
    pub first: Duration,
    /// When each token came.
    pub times: Vec<Instant>,
}

impl Arrivals {
    /// Returns the times between tokens.
    pub fn gaps(&self) -> Vec<Duration> {
        self.times.windows(2).map(|w| w[1] - w[0]).collect()
    }
}

/// Streams an answer straight from an engine.
pub async fn straight(engine: SocketAddr, length: usize) -> anyhow::Result<Arrivals> {
    let generation = GenerationId::new(rand::random());
    let body = json!({
        "generation": generation,
        "model": MODEL,
        "prompt": format!("a len={length}"),
        "max_tokens": length,
        "priority": 0,
    });
    let arrivals = listen(engine, Method::POST, GENERATIONS_PATH, &body.to_string(), None).await?;
    anyhow::ensure!(arrivals.times.len() == length, "{} tokens", arrivals.times.len());
    Ok(arrivals)
}

/// Follows a generation at its engine from its first token.
pub async fn follow(engine: SocketAddr, generation: &str) -> anyhow::Result<Arrivals> {
    let path = format!("{GENERATIONS_PATH}/{generation}?from=0");
    listen(engine, Method::GET, &path, "", None).await
}

/// Streams an answer through an instance.
pub async fn through(node: SocketAddr, length: usize) -> anyhow::Result<Arrivals> {
    through_telling(node, length, None).await
}

/// Streams an answer through an instance and tells its generation with the first token.
pub async fn through_telling(
    node: SocketAddr,
    length: usize,
    tell: Option<oneshot::Sender<String>>,
) -> anyhow::Result<Arrivals> {
    let body = json!({
        "model": MODEL,
        "prompt": format!("a len={length}"),
        "max_tokens": length,
        "stream": true,
    });
    let arrivals = listen(node, Method::POST, "/v1/completions", &body.to_string(), tell).await?;
    // The last event says that the stream is over.
    anyhow::ensure!(arrivals.times.len() == length + 1, "{} events", arrivals.times.len());
    Ok(arrivals)
}

async fn listen(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    mut tell: Option<oneshot::Sender<String>>,
) -> anyhow::Result<Arrivals> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header("nutmeggrade-workspace", "staatsbos")
        .header("nutmeggrade-task", "permit-draft")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let start = Instant::now();
    let response = call(address, request, CONNECT).await?;
    anyhow::ensure!(response.status().is_success(), "{path}: {}", response.status());
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    let mut arrivals = Arrivals::default();
    while let Some(event) = events.next().await {
        arrivals.times.push(Instant::now());
        if let Some(tell) = tell.take() {
            drop(tell.send(generation(&event?.data)?));
        }
    }
    arrivals.first = arrivals.times.first().context("no token")?.duration_since(start);
    Ok(arrivals)
}

fn generation(chunk: &str) -> anyhow::Result<String> {
    let chunk: Value = serde_json::from_str(chunk).context("decode chunk")?;
    let id = chunk.get("id").and_then(Value::as_str).context("no id")?;
    Ok(id.trim_start_matches("cmpl-").to_owned())
}
