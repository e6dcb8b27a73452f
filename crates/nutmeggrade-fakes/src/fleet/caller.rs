//! An HTTP client of the instances' caller API, as callers' programs would use it.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyDataStream, Full};
use nutmeggrade_platform::{body_bytes, call};
use serde_json::{Value, json};

use super::Deployment;
use crate::http::{request_json, send};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Events that a caller received on one stream.
#[derive(Debug, Clone, Default)]
pub struct StreamOutput {
    /// Tokens in the order of arrival.
    pub tokens: Vec<String>,
    /// Id of the last token's event, for resuming the stream.
    pub last: Option<String>,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// Body of the failure, if the request or the stream failed.
    pub failure: Option<Value>,
    /// Where to resume the stream, if the instance stopped.
    pub moved: Option<Value>,
}

impl StreamOutput {
    /// Returns whether the stream is complete and each token came once and in order.
    pub fn is_whole(&self) -> bool {
        self.done && self.in_order()
    }

    /// Returns whether each received token came once and in order.
    pub fn in_order(&self) -> bool {
        self.tokens.iter().enumerate().all(|(n, t)| *t == format!("w{n} "))
    }
}

/// A caller of one workspace.
#[derive(Debug, Clone)]
pub struct Caller {
    workspace: String,
    entries: Vec<SocketAddr>,
    deployment: Deployment,
}

impl Caller {
    /// Creates a caller of the Permit Desk that uses these entry addresses.
    pub fn new(workspace: &str, entries: Vec<SocketAddr>) -> Self {
        let deployment = Deployment::PERMIT_DESK;
        Self { workspace: workspace.to_owned(), entries, deployment }
    }

    /// Sends requests for another workspace.
    #[must_use]
    pub fn with_workspace(mut self, workspace: &str) -> Self {
        workspace.clone_into(&mut self.workspace);
        self
    }

    /// Uses another deployment's model and service.
    #[must_use]
    pub fn with_deployment(mut self, deployment: Deployment) -> Self {
        self.deployment = deployment;
        self
    }

    /// Requests the list of entry addresses from the n-th entry.
    pub async fn fetch_entries(&self, n: usize) -> anyhow::Result<Vec<SocketAddr>> {
        let response: Value = request_json(self.entry(n), Method::GET, "/v1/entries", None).await?;
        let rows = response.get("entries").and_then(Value::as_array).context("no entries")?;
        let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
        Ok(rows.iter().filter_map(address).collect())
    }

    /// Returns the n-th entry address, modulo their number.
    pub fn entry(&self, n: usize) -> SocketAddr {
        self.entries[n % self.entries.len()]
    }

    /// Streams a completion and resumes it at further entries until it is complete or has failed.
    pub async fn stream(&self, n: usize, task: &str, prompt: &str) -> anyhow::Result<StreamOutput> {
        let mut output = StreamOutput::default();
        self.read_stream(self.entry(n), task, prompt, &mut output, None).await?;
        let mut entry = n;
        while !output.done && output.failure.is_none() {
            entry += 1;
            anyhow::ensure!(entry < n + 3 * self.entries.len(), "no entry resumes the stream");
            // An entry that stopped is skipped; the next one resumes the stream.
            drop(self.read_stream(self.entry(entry), task, prompt, &mut output, None).await);
        }
        Ok(output)
    }

    /// Reads a stream at one entry, after the last event if there is one, up to `token_limit` tokens.
    pub async fn read_stream(
        &self,
        entry: SocketAddr,
        task: &str,
        prompt: &str,
        output: &mut StreamOutput,
        token_limit: Option<usize>,
    ) -> anyhow::Result<()> {
        let body = json!({ "model": self.deployment.model, "prompt": prompt, "stream": true });
        let mut request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, entry.to_string())
            .header("nutmeggrade-workspace", &self.workspace)
            .header("nutmeggrade-task", task);
        if let Some(last) = &output.last {
            request = request.header("last-event-id", last);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string())))?;
        let response = call(entry, request, CONNECT_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            let body = body_bytes(response.into_body(), MAX_RESPONSE_BYTES).await?;
            output.failure = Some(serde_json::from_slice(&body).context("decode failure")?);
            return Ok(());
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else { return Ok(()) };
            match event.event.as_str() {
                "error" => output.failure = Some(serde_json::from_str(&event.data)?),
                "moved" => output.moved = Some(serde_json::from_str(&event.data)?),
                _ if event.data == "[DONE]" => output.done = true,
                _ => {
                    let chunk: Value = serde_json::from_str(&event.data)?;
                    let text = chunk.pointer("/choices/0/text").and_then(Value::as_str);
                    output.tokens.push(text.unwrap_or("").to_owned());
                    output.last = Some(event.id);
                }
            }
            if token_limit.is_some_and(|m| output.tokens.len() >= m) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Calls an operation of the plain service through the n-th entry.
    pub async fn operation(
        &self,
        n: usize,
        operation: &str,
        key: Option<&str>,
        subject: &str,
    ) -> anyhow::Result<(StatusCode, Value)> {
        let mut headers = vec![("nutmeggrade-workspace", self.workspace.as_str())];
        if let Some(key) = key {
            headers.push(("idempotency-key", key));
        }
        let path = format!("/v1/services/{}/{operation}", self.deployment.service);
        let body = json!({ "subject": subject }).to_string().into_bytes();
        let (status, bytes) = send(self.entry(n), Method::POST, &path, &headers, body).await?;
        Ok((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
    }
}
