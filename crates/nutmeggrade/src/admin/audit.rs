//! `GET /audit`: recent configuration changes and audit entries of this instance.

use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, failure, json as json_reply};
use crate::tables::lock;

/// Returns both lists, oldest first; works while the platform is down.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    if let Err(refusal) = super::authorize(&node, &req) {
        return Ok(failure(&refusal));
    }
    let changes = lock(&node.tables.changes).list();
    let entries: Vec<_> = lock(&node.tables.audit).recent().cloned().collect();
    Ok(json_reply(&json!({
        "instance": node.entry.instance,
        "changes": changes,
        "entries": entries,
    })))
}
