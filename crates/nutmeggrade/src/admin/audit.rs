//! `GET /audit`: the accepted changes and the deeds of this instance lately.

use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, failure, json as json_reply};
use crate::tables::lock;

/// Answers with both lists, oldest first; the platform may be down.
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
