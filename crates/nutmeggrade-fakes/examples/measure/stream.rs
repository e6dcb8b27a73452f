//! Streams with recorded token arrival times.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Arrival times of the tokens of one stream.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Time from the request to the first token.
    pub first: Duration,
    /// Arrival time of each event.
    pub times: Vec<Instant>,
}

impl Arrivals {
    /// Returns the intervals between events.
    pub fn gaps(&self) -> Vec<Duration> {
        self.times.windows(2).map(|w| w[1] - w[0]).collect()
    }
}

/// Streams a new generation directly from an engine.
pub async fn stream_from_engine(engine: SocketAddr, length: usize) -> anyhow::Result<Arrivals> {
    let generation = GenerationId::new(rand::random());
    let body = json!({
        "generation": generation,
        "model": MODEL,
        "prompt": format!("a len={length}"),
        "max_tokens": length,
        "priority": 0,
    });
    let arrivals =
        read_events(engine, Method::POST, GENERATIONS_PATH, &body.to_string(), None).await?;
    anyhow::ensure!(arrivals.times.len() == length, "{} tokens", arrivals.times.len());
    Ok(arrivals)
}

/// Streams an existing generation from its engine, from the first token.
pub async fn resume_from_engine(engine: SocketAddr, generation: &str) -> anyhow::Result<Arrivals> {
    let path = format!("{GENERATIONS_PATH}/{generation}?from=0");
    read_events(engine, Method::GET, &path, "", None).await
}

/// Streams a new generation through an instance.
pub async fn stream_through_instance(node: SocketAddr, length: usize) -> anyhow::Result<Arrivals> {
    stream_and_send_id(node, length, None).await
}

/// Streams a new generation through an instance and sends its id with the first token.
pub async fn stream_and_send_id(
    node: SocketAddr,
    length: usize,
    id_sender: Option<oneshot::Sender<String>>,
) -> anyhow::Result<Arrivals> {
    let body = json!({
        "model": MODEL,
        "prompt": format!("a len={length}"),
        "max_tokens": length,
        "stream": true,
    });
    let arrivals =
        read_events(node, Method::POST, "/v1/completions", &body.to_string(), id_sender).await?;
    // The last event marks the end of the stream.
    anyhow::ensure!(arrivals.times.len() == length + 1, "{} events", arrivals.times.len());
    Ok(arrivals)
}

async fn read_events(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    mut id_sender: Option<oneshot::Sender<String>>,
) -> anyhow::Result<Arrivals> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header("nutmeggrade-workspace", "staatsbos")
        .header("nutmeggrade-task", "permit-draft")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let start = Instant::now();
    let response = call(address, request, CONNECT_TIMEOUT).await?;
    anyhow::ensure!(response.status().is_success(), "{path}: {}", response.status());
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    let mut arrivals = Arrivals::default();
    while let Some(event) = events.next().await {
        arrivals.times.push(Instant::now());
        if let Some(id_sender) = id_sender.take() {
            drop(id_sender.send(generation_id(&event?.data)?));
        }
    }
    arrivals.first = arrivals.times.first().context("no token")?.duration_since(start);
    Ok(arrivals)
}

fn generation_id(chunk: &str) -> anyhow::Result<String> {
    let chunk: Value = serde_json::from_str(chunk).context("decode chunk")?;
    let id = chunk.get("id").and_then(Value::as_str).context("no id")?;
    Ok(id.trim_start_matches("cmpl-").to_owned())
}
