//! A caller that keeps entries for the time that it was told.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, StatusCode};
use serde_json::Value;
use tokio::time::Instant;

use super::{Caller, Heard};
use crate::http::ask;

/// A caller that follows the callers' page to the letter: it asks for entries, keeps the answer for
/// as long as it says, connects to the first, and asks that one again before the time is over.
///
/// It never tries a second address by itself, so that each refusal or broken answer shows.
#[derive(Debug)]
pub struct Client {
    workspace: String,
    known: Vec<SocketAddr>,
    kept_at: Instant,
    keep: Duration,
}

impl Client {
    /// Makes a client that knows one address for now.
    pub fn new(workspace: &str, first: SocketAddr) -> Self {
        Self {
            workspace: workspace.to_owned(),
            known: vec![first],
            kept_at: Instant::now(),
            keep: Duration::ZERO,
        }
    }

    /// Says whether the kept answer is too old to rely on.
    pub fn is_stale(&self) -> bool {
        self.kept_at.elapsed() >= self.keep
    }

    /// Starts over from an address, as after a pause in which the kept answer ran out.
    pub fn restart(&mut self, first: SocketAddr) {
        self.known = vec![first];
    }

    /// Asks the entry in use for entries.
    pub async fn refresh(&mut self) -> anyhow::Result<()> {
        let asked = Instant::now();
        let answer: Value = ask(self.known[0], Method::GET, "/v1/entries", None).await?;
        let rows = answer.get("entries").and_then(Value::as_array).context("no entries")?;
        let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
        let known: Vec<_> = rows.iter().filter_map(address).collect();
        anyhow::ensure!(!known.is_empty(), "an empty list of entries");
        let keep = answer.get("keep_ms").and_then(Value::as_u64).context("no keep_ms")?;
        self.known = known;
        self.kept_at = asked;
        self.keep = Duration::from_millis(keep);
        Ok(())
    }

    /// Refreshes the kept answer once half of its time is over.
    pub async fn keep_fresh(&mut self) -> anyhow::Result<()> {
        if self.kept_at.elapsed() >= self.keep / 2 { self.refresh().await } else { Ok(()) }
    }

    /// Streams an answer at the entry in use, and goes on where an instance that stops says.
    pub async fn stream(&self, task: &str, prompt: &str) -> anyhow::Result<Heard> {
        let mut heard = Heard::default();
        let caller = self.caller();
        caller.listen(self.known[0], task, prompt, &mut heard, None).await?;
        while let Some(moved) = heard.moved.take() {
            let next = moved.pointer("/entries/0").and_then(Value::as_str);
            let next = next.context("moved nowhere")?.parse()?;
            caller.listen(next, task, prompt, &mut heard, None).await?;
        }
        Ok(heard)
    }

    /// Calls an operation of the plain service at the entry in use.
    pub async fn operation(
        &self,
        operation: &str,
        key: Option<&str>,
        subject: &str,
    ) -> anyhow::Result<(StatusCode, Value)> {
        self.caller().operation(0, operation, key, subject).await
    }

    fn caller(&self) -> Caller {
        Caller::new(&self.workspace, self.known.clone())
    }
}
