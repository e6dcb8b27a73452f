//! A caller of the system, as a household's client would be.

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
use crate::http::{ask, send};

const CONNECT: Duration = Duration::from_secs(2);
const MAX_ANSWER: usize = 1 << 20;

/// What a caller heard of one stream.
#[derive(Debug, Clone, Default)]
pub struct Heard {
    /// Tokens in the order in which they came.
    pub tokens: Vec<String>,
    /// Id of the last event.
    pub last: Option<String>,
    /// Whether the answer was whole.
    pub done: bool,
    /// The failure, if the stream or the request failed.
    pub failure: Option<Value>,
    /// Where to go on, if the instance stopped.
    pub moved: Option<Value>,
}

impl Heard {
    /// Says whether the answer is whole and its tokens came once and in order.
    pub fn is_whole(&self) -> bool {
        self.done && self.in_order()
    }

    /// Says whether what came so far came once and in order.
    pub fn in_order(&self) -> bool {
        self.tokens.iter().enumerate().all(|(n, t)| *t == format!("w{n} "))
    }
}

/// A caller in one workspace.
#[derive(Debug, Clone)]
pub struct Caller {
    workspace: String,
    entries: Vec<SocketAddr>,
    deployment: Deployment,
}

impl Caller {
    /// Makes a caller of the permit desk that knows some entries.
    pub fn new(workspace: &str, entries: Vec<SocketAddr>) -> Self {
        let deployment = Deployment::PERMIT_DESK;
        Self { workspace: workspace.to_owned(), entries, deployment }
    }

    /// Asks in another workspace.
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

    /// Asks the n-th entry which addresses to use.
    pub async fn ask_entries(&self, n: usize) -> anyhow::Result<Vec<SocketAddr>> {
        let answer: Value = ask(self.entry(n), Method::GET, "/v1/entries", None).await?;
        let rows = answer.get("entries").and_then(Value::as_array).context("no entries")?;
        let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
        Ok(rows.iter().filter_map(address).collect())
    }

    /// Returns the n-th entry, counted in a circle.
    pub fn entry(&self, n: usize) -> SocketAddr {
        self.entries[n % self.entries.len()]
    }

    /// Streams an answer and goes on where it is told to, until it is whole or failed.
    pub async fn stream(&self, n: usize, task: &str, prompt: &str) -> anyhow::Result<Heard> {
        let mut heard = Heard::default();
        self.listen(self.entry(n), task, prompt, &mut heard, None).await?;
        let mut entry = n;
        while !heard.done && heard.failure.is_none() {
            entry += 1;
            anyhow::ensure!(entry < n + 3 * self.entries.len(), "no entry goes on");
            // An entry that stopped is skipped; the next one resumes.
            drop(self.listen(self.entry(entry), task, prompt, &mut heard, None).await);
        }
        Ok(heard)
    }

    /// Listens at one entry, from the last event if there is one, for at most `most` tokens.
    pub async fn listen(
        &self,
        entry: SocketAddr,
        task: &str,
        prompt: &str,
        heard: &mut Heard,
        most: Option<usize>,
    ) -> anyhow::Result<()> {
        let body = json!({ "model": self.deployment.model, "prompt": prompt, "stream": true });
        let mut request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, entry.to_string())
            .header("nutmeggrade-workspace", &self.workspace)
            .header("nutmeggrade-task", task);
        if let Some(last) = &heard.last {
            request = request.header("last-event-id", last);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string())))?;
        let response = call(entry, request, CONNECT).await?;
        if response.status() != StatusCode::OK {
            let body = body_bytes(response.into_body(), MAX_ANSWER).await?;
            heard.failure = Some(serde_json::from_slice(&body).context("decode failure")?);
            return Ok(());
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else { return Ok(()) };
            match event.event.as_str() {
                "error" => heard.failure = Some(serde_json::from_str(&event.data)?),
                "moved" => heard.moved = Some(serde_json::from_str(&event.data)?),
                _ if event.data == "[DONE]" => heard.done = true,
                _ => {
                    let chunk: Value = serde_json::from_str(&event.data)?;
                    let text = chunk.pointer("/choices/0/text").and_then(Value::as_str);
                    heard.tokens.push(text.unwrap_or("").to_owned());
                    heard.last = Some(event.id);
                }
            }
            if most.is_some_and(|m| heard.tokens.len() >= m) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Calls an operation of the plain service at the n-th entry.
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
