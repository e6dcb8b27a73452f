//! The Permit Desk's names and an ordinary preset.

use anyhow::Context;
use nutmeggrade_core::config::Preset;
use serde_json::json;

/// The model that drafts and sorts.
pub const MODEL: &str = "nutmeg-schrijvers";
/// The plain service that issues and looks up permits.
pub const SERVICE: &str = "loket-dienst";

/// Makes the preset of an ordinary day.
pub fn preset() -> anyhow::Result<Preset> {
    let preset = json!({
        "models": { MODEL: { "context": 32_000 } },
        "tasks": {
            "district-sort": { "long": false, "max_tokens": 64, "deadline_ms": 20_000 },
            "permit-draft": { "long": true, "max_tokens": 8_192, "deadline_ms": 120_000 },
        },
        "services": {
            SERVICE: {
                "issue-permit": { "idempotent": false },
                "lookup-permit": { "idempotent": true },
            },
        },
        "limits": { "queue": 256, "call_deadline_ms": 10_000 },
        "weights": { "stall": 2.0, "domains": 2.0, "gap": 1.0, "preemptions": 1.0 },
    });
    serde_json::from_value(preset).context("build preset")
}
