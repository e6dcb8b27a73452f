//! `GET /live` and `GET /ready`: liveness and readiness probes.

use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, failure, json as json_reply};

/// Reports that the process runs.
pub async fn live(_req: Request) -> Reply {
    Ok(json_reply(&json!({ "live": true })))
}

/// Reports whether the instance accepts new work, or the reason why not.
pub async fn ready<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    match node.check_ready() {
        Ok(()) => Ok(json_reply(&json!({ "ready": true }))),
        Err(reason) => Ok(failure(&reason)),
    }
}
