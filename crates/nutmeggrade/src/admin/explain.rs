//! `GET /explain/{request}`: decisions of this instance about a request.

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::{Request, RequestExt};

use crate::front::{Reply, failure, json as json_reply};
use crate::tables::lock;

/// Returns the steps of a request, oldest first.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    if let Err(refusal) = super::authorize(&node, &req) {
        return Ok(failure(&refusal));
    }
    let name = req.param::<String>("request").unwrap_or_default();
    let record = match RequestId::new(&name) {
        Ok(request) => lock(&node.tables.explain).get(&request).cloned(),
        Err(error) => return Ok(failure(&Failure::new(Code::BadHeader, &error.to_string()))),
    };
    let Some(record) = record else {
        let detail = format!("{name} is not remembered here");
        return Ok(failure(&Failure::new(Code::RequestUnknown, &detail)));
    };
    let start = record.steps.first().map(|s| s.at).unwrap_or_default();
    let steps: Vec<_> = record
        .steps
        .iter()
        .map(|s| {
            let after_ms = u64::try_from(s.at.since(start).as_millis()).unwrap_or(u64::MAX);
            json!({ "after_ms": after_ms, "step": s.step, "detail": s.detail })
        })
        .collect();
    Ok(json_reply(&json!({
        "instance": node.entry.instance,
        "request": name,
        "steps": steps,
        "dropped": record.dropped,
    })))
}
