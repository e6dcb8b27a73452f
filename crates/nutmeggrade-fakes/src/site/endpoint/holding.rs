//! Calls for leases at a simulated engine.

use std::sync::{MutexGuard, PoisonError};

use anyhow::Context;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{Endpoint, send, send_json};
use crate::site::holds::{HoldBehaviour, Holds};
use crate::site::message::Message;

const TAKE: (&str, &str) = ("POST", "/nutmeggrade/hold-take");
const DROP_PATH: &str = "/nutmeggrade/hold-drop/";

/// Returns whether a path is one of the calls for leases.
pub(super) fn is_hold_call(path: &str) -> bool {
    path == TAKE.1 || path.starts_with(DROP_PATH)
}

impl Endpoint {
    /// Returns its leases, for changes too.
    pub fn holds(&self) -> MutexGuard<'_, Holds> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a call for a lease. It counts as a status check against a rate limit: both carry no
    /// attempt id.
    pub(super) async fn handle_hold(
        &self,
        stream: &mut TcpStream,
        request: &Message,
    ) -> anyhow::Result<()> {
        self.notices().add_status_check();
        if request.request() == TAKE {
            return self.handle_take(stream, request).await;
        }
        let lease = request.request().1.strip_prefix(DROP_PATH).unwrap_or_default();
        let was_open = self.holds().release(lease);
        send_json(stream, if was_open { 200 } else { 404 }, &Value::Null).await
    }

    async fn handle_take(&self, stream: &mut TcpStream, request: &Message) -> anyhow::Result<()> {
        let call = serde_json::from_slice(&request.body).context("body of a call for a lease")?;
        let (behaviour, delay) = {
            let mut holds = self.holds();
            holds.calls.push(call);
            (holds.behaviour, holds.delay)
        };
        sleep(delay).await;
        match behaviour {
            HoldBehaviour::Refuse => send_json(stream, 503, &Value::Null).await,
            HoldBehaviour::Unknown => send_json(stream, 404, &Value::Null).await,
            HoldBehaviour::Malformed => send_json(stream, 200, &json!({ "retention": null })).await,
            HoldBehaviour::Hang => {
                // Waits until the instance closes the connection.
                drop(stream.read(&mut [0]).await);
                anyhow::bail!("closed by the instance")
            }
            HoldBehaviour::Grant | HoldBehaviour::Crash => {
                let lease = self.holds().grant();
                if behaviour == HoldBehaviour::Crash {
                    self.stop_listening().await?;
                }
                let body = json!({ "retention": lease }).to_string();
                let head =
                    format!("{}Content-Length: {}\r\n", self.notices().headers(""), body.len());
                send(stream, &format!("HTTP/1.1 200 -\r\n{head}\r\n{body}")).await
            }
        }
    }

    /// Records the lease that a request names.
    pub(super) fn use_hold(&self, request: &Message) {
        if let Some(lease) = request.header("x-nutmeggrade-cache-retention") {
            self.holds().use_lease(lease);
        }
    }
}
