//! `GET /live` and `GET /ready`.

use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, failure, json as json_reply};

/// Answers that the process runs.
pub async fn live(_req: Request) -> Reply {
    Ok(json_reply(&json!({ "live": true })))
}

/// Answers whether new work may be taken, and why not.
pub async fn ready<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    match node.may_work() {
        Ok(()) => Ok(json_reply(&json!({ "ready": true }))),
        Err(reason) => Ok(failure(&reason)),
    }
}
