//! Reports and health checks.

use std::time::Duration;

use nutmeggrade_core::engine::{EngineStatus, LoadReport};
use serde_json::json;
use tokio::net::TcpStream;

use super::Endpoint;

/// Memory that an idle engine reports, in tokens.
const IDLE_MEMORY: u64 = 10_000_000;

impl Endpoint {
    pub(super) async fn handle_report(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        self.notices().add_status_check();
        let leaves = self.state().leaves_ms;
        let mut report = json!({ "phase": "combined", "busy": false, "sequence": 1, "queued": 0,
            "active": 0, "kv_cache_used": 0, "kv_cache_capacity": 30_000, "cache_handles": 0 });
        if let Some(leaves) = leaves {
            report["leaves_ms"] = json!(leaves);
        }
        super::send_json(stream, 200, &report).await
    }

    pub(super) async fn handle_health(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        self.notices().add_status_check();
        let head = format!("X-Nutmeggrade-Instance-Id: {}\r\nContent-Length: 0\r\n", self.id);
        super::send(stream, &format!("HTTP/1.1 200 -\r\n{head}\r\n")).await
    }

    /// Reports the load of an idle engine to an instance with its own interface.
    pub(super) async fn handle_load(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        self.notices().add_status_check();
        let load = LoadReport {
            running: 0,
            waiting: 0,
            memory_used: 0,
            memory_total: IDLE_MEMORY,
            preemptions: 0,
            cold: false,
            cold_limit: 1,
            age: Duration::ZERO,
        };
        let report = serde_json::to_value(EngineStatus { load, leaving: false })?;
        super::send_json(stream, 200, &report).await
    }
}
