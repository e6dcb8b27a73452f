//! A caller that caches the list of entries for the advertised time.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, StatusCode};
use serde_json::Value;
use tokio::time::Instant;

use super::{Caller, StreamOutput};
use crate::http::request_json;

/// A caller that follows the callers' documentation exactly: it requests the list of entries,
/// caches it for the advertised time, connects to the first entry, and refreshes the list there
/// before the time is over.
///
/// It never tries a second address by itself, so that each refusal or broken response is visible.
#[derive(Debug)]
pub struct Client {
    workspace: String,
    addresses: Vec<SocketAddr>,
    fetched_at: Instant,
    keep_time: Duration,
}

impl Client {
    /// Creates a client with one address and a list that is already stale.
    pub fn new(workspace: &str, first: SocketAddr) -> Self {
        Self {
            workspace: workspace.to_owned(),
            addresses: vec![first],
            fetched_at: Instant::now(),
            keep_time: Duration::ZERO,
        }
    }

    /// Returns whether the cached list has expired.
    pub fn is_stale(&self) -> bool {
        self.fetched_at.elapsed() >= self.keep_time
    }

    /// Starts over with one address, as after a pause in which the cached list expired.
    pub fn restart(&mut self, first: SocketAddr) {
        self.addresses = vec![first];
    }

    /// Requests the list of entries from the entry in use.
    pub async fn refresh(&mut self) -> anyhow::Result<()> {
        let requested_at = Instant::now();
        let response: Value =
            request_json(self.addresses[0], Method::GET, "/v1/entries", None).await?;
        let rows = response.get("entries").and_then(Value::as_array).context("no entries")?;
        let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
        let addresses: Vec<_> = rows.iter().filter_map(address).collect();
        anyhow::ensure!(!addresses.is_empty(), "an empty list of entries");
        let keep_time = response.get("keep_ms").and_then(Value::as_u64).context("no keep_ms")?;
        self.addresses = addresses;
        self.fetched_at = requested_at;
        self.keep_time = Duration::from_millis(keep_time);
        Ok(())
    }

    /// Refreshes the cached list once half of its lifetime is over.
    pub async fn refresh_if_due(&mut self) -> anyhow::Result<()> {
        if self.fetched_at.elapsed() >= self.keep_time / 2 { self.refresh().await } else { Ok(()) }
    }

    /// Streams a completion from the entry in use and follows `moved` events of stopping instances.
    pub async fn stream(&self, task: &str, prompt: &str) -> anyhow::Result<StreamOutput> {
        let mut output = StreamOutput::default();
        let caller = self.caller();
        caller.read_stream(self.addresses[0], task, prompt, &mut output, None).await?;
        while let Some(moved) = output.moved.take() {
            let next = moved.pointer("/entries/0").and_then(Value::as_str);
            let next = next.context("`moved` event without an entry")?.parse()?;
            caller.read_stream(next, task, prompt, &mut output, None).await?;
        }
        Ok(output)
    }

    /// Calls an operation of the plain service through the entry in use.
    pub async fn operation(
        &self,
        operation: &str,
        key: Option<&str>,
        subject: &str,
    ) -> anyhow::Result<(StatusCode, Value)> {
        self.caller().operation(0, operation, key, subject).await
    }

    fn caller(&self) -> Caller {
        Caller::new(&self.workspace, self.addresses.clone())
    }
}
