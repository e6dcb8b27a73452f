//! `GET /status`: state of this instance.

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, failure, json as json_reply};
use crate::tables::lock;

/// Returns the configuration in force, the peers and the endpoints.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    if let Err(refusal) = super::authorize(&node, &req) {
        return Ok(failure(&refusal));
    }
    let now = node.now();
    let config = lock(&node.tables.config).current();
    let peers = lock(&node.tables.members).configs(now);
    let (epoch, endpoints) = {
        let table = lock(&node.tables.endpoints);
        let rights = lock(&node.tables.rights);
        let to_json = |e: &Endpoint| {
            json!({
                "endpoint": e,
                "in_service": table.in_service(e),
                "owner_epoch": rights.owner_epoch(&e.id, now),
                "cold_right": rights.cold_right(&e.id, now),
            })
        };
        let rows: Vec<_> = table.all().map(to_json).collect();
        (rights.epoch(), rows)
    };
    let (in_flight, waiting) = {
        let scheduler = lock(&node.tables.scheduler);
        (scheduler.in_flight(), scheduler.waiting())
    };
    Ok(json_reply(&json!({
        "instance": node.entry.instance,
        "domain": node.entry.domain,
        "config": config.as_ref().map_or(0, |c| c.version),
        "preset": config.as_ref().map(|c| c.active.clone()),
        "out_domains": config.as_ref().map(|c| c.out_domains.clone()),
        "out_endpoints": config.as_ref().map(|c| c.out_endpoints.clone()),
        "epoch": epoch,
        "peers": peers,
        "endpoints": endpoints,
        "in_flight": in_flight,
        "waiting": waiting,
    })))
}
