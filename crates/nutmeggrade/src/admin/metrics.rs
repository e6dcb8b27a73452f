//! `GET /metrics`.

use nutmeggrade_platform::Platform;
use viz::{Request, Response, ResponseExt};

use crate::front::Reply;

/// Answers in the Prometheus text format.
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
    Ok(Response::text(node.metrics.text().unwrap_or_default()))
}
