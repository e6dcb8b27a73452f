//! `POST /config`: pushes an accepted configuration, as the operators' command does.

use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use crate::front::{Reply, body, failure, json as json_reply};
use crate::tables::lock;

/// Maximum size of a configuration: the platform's limit on a value.
const MAX_CONFIG_BYTES: usize = 1 << 20;

/// Puts a configuration in force that the platform has accepted; returns the version in force.
pub async fn post<P: Platform>(mut req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    if let Err(refusal) = super::authorize(&node, &req) {
        return Ok(failure(&refusal));
    }
    let body = match body::read(&node, &mut req, MAX_CONFIG_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(failure(&refusal)),
    };
    match serde_json::from_slice::<Configuration>(&body) {
        Ok(config) => {
            node.apply_config(&config, "operator");
            let version = lock(&node.tables.config).version();
            if config.version < version {
                let detail = format!("pushed={} in_force={version}", config.version);
                node.audit(AuditEvent::OldConfigRefused, &detail);
            }
            Ok(json_reply(&json!({ "config": version })))
        }
        Err(e) => Ok(failure(&Failure::new(Code::BadJson, &e.to_string()))),
    }
}
