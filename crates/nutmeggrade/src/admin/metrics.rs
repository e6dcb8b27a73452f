//! `GET /metrics`: metrics for Prometheus.

use nutmeggrade_platform::Platform;
use viz::{Request, Response, ResponseExt};

use crate::front::Reply;
use crate::node::Node;
use crate::tables::lock;

/// Returns the metrics in the Prometheus text format.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    for (kind, count) in node.platform.calls() {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        node.metrics.platform.with_label_values(&[kind]).set(count);
    }
    let traffic = node.platform.traffic();
    for (direction, bytes) in [("out", traffic.sent), ("in", traffic.received)] {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        node.metrics.platform_bytes.with_label_values(&[direction]).set(bytes);
    }
    update_table_gauges(&node);
    Ok(Response::text(node.metrics.encode().unwrap_or_default()))
}

fn update_table_gauges<P: Platform>(node: &Node<P>) {
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let (records, bytes) = {
        let explain = lock(&node.tables.explain);
        (explain.len(), explain.bytes())
    };
    node.metrics.explain_records.set(gauge(records));
    node.metrics.explain_bytes.set(gauge(bytes));
    let lost = lock(&node.tables.audit).dropped_count();
    node.metrics.audit_lost.set(i64::try_from(lost).unwrap_or(i64::MAX));
}
