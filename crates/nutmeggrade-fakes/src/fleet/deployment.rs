//! The names of a deployment, and its ordinary preset.

use anyhow::Context;
use nutmeggrade_core::config::Preset;
use serde_json::json;

/// The permit desk's model, which drafts and sorts.
pub const MODEL: &str = "nutmeg-schrijvers";
/// The permit desk's plain service, which issues and looks up permits.
pub const SERVICE: &str = "loket-dienst";

/// The names that one of the users gave to what they run.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Failure domains; processes are spread over them in turn.
    pub domains: [&'static str; 3],
    /// The model.
    pub model: &'static str,
    /// The plain service.
    pub service: &'static str,
    /// Task class of long answers.
    pub long: &'static str,
    /// Task class of short answers.
    pub short: &'static str,
    /// Operation that may not be repeated.
    pub once: &'static str,
    /// Operation that may be repeated.
    pub idempotent: &'static str,
}

impl Deployment {
    /// The Firewood Permit Desk.
    pub const PERMIT_DESK: Self = Self {
        domains: ["veluwe", "utrechtse-heuvelrug", "gooi"],
        model: MODEL,
        service: SERVICE,
        long: "permit-draft",
        short: "district-sort",
        once: "issue-permit",
        idempotent: "lookup-permit",
    };
    /// The framing cooperative.
    pub const FRAMING: Self = Self {
        domains: ["riga-a", "riga-b", "riga-c"],
        model: "nutmeg-pool",
        service: "order-desk",
        long: "proposal",
        short: "glass-check",
        once: "place-order",
        idempotent: "lookup-stock",
    };

    /// Makes the preset of an ordinary day.
    pub fn preset(&self) -> anyhow::Result<Preset> {
        let preset = json!({
            "models": { self.model: { "context": 32_000 } },
            "tasks": {
                self.short: { "long": false, "max_tokens": 64, "deadline_ms": 20_000 },
                self.long: { "long": true, "max_tokens": 8_192, "deadline_ms": 120_000 },
            },
            "services": {
                self.service: {
                    self.once: { "idempotent": false },
                    self.idempotent: { "idempotent": true },
                },
            },
            "limits": { "queue": 256, "call_deadline_ms": 10_000 },
            "weights": { "stall": 2.0, "domains": 2.0, "gap": 1.0, "preemptions": 1.0 },
        });
        serde_json::from_value(preset).context("build preset")
    }
}

/// Makes the permit desk's preset of an ordinary day.
pub fn preset() -> anyhow::Result<Preset> {
    Deployment::PERMIT_DESK.preset()
}
