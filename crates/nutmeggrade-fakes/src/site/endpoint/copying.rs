//! Copies of the generations of a simulated engine.

use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{Endpoint, send_json};
use crate::site::message::Message;

/// Duration of the first copy of a generation's cache.
const FIRST_COPY_TIME: Duration = Duration::from_millis(40);
/// Duration of the last copy, after the generation was stopped.
const LAST_COPY_TIME: Duration = Duration::from_millis(20);

impl Endpoint {
    /// Sets the time that passes before an order to stop a generation is carried out.
    pub fn delay_stops(&self, delay: Duration) {
        self.state().stop_delay = delay;
    }

    pub(super) async fn handle_copy(
        &self,
        stream: &mut TcpStream,
        request: &Message,
    ) -> anyhow::Result<()> {
        let order: Value = serde_json::from_slice(&request.body).context("copy order")?;
        let id = order["id"].as_str().unwrap_or_default();
        let is_final = order["final"].as_bool().unwrap_or_default();
        if !is_final {
            self.generations.simulate_first_copy(FIRST_COPY_TIME).await;
        }
        if is_final {
            let delay = self.state().stop_delay;
            sleep(delay).await;
        }
        let copied = self.generations.create_copy(self.advertised_address(), id, is_final);
        if is_final {
            sleep(LAST_COPY_TIME).await;
        }
        let has_ended = is_final && self.state().finishes_at_stop;
        match copied.filter(|_| !has_ended) {
            Some(events) => {
                send_json(stream, 200, &json!({ "cache_handle": id, "created": events })).await
            }
            None => send_json(stream, 404, &Value::Null).await,
        }
    }

    pub(super) fn claim_copy(&self, source: &str) -> Option<u64> {
        let (source, handle) = source.split_once('/')?;
        self.generations.claim_copy(source.parse().ok()?, handle)
    }
}
