//! Names used in the deployments under test, and their ordinary preset.

use anyhow::Context;
use nutmeggrade_core::config::Preset;
use serde_json::json;

/// Model of the Permit Desk, for drafting and sorting.
pub const MODEL: &str = "nutmeg-schrijvers";
/// Plain service of the Permit Desk, for issuing and looking up permits.
pub const SERVICE: &str = "loket-dienst";

/// Names of a user's failure domains, model, service, task classes and operations.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Failure domains; processes are distributed over them in turn.
    pub domains: [&'static str; 3],
    /// Id of the model.
    pub model: &'static str,
    /// Id of the plain service.
    pub service: &'static str,
    /// Task class of long completions.
    pub long: &'static str,
    /// Task class of short completions.
    pub short: &'static str,
    /// Operation that isn't idempotent.
    pub non_idempotent: &'static str,
    /// Operation that is idempotent.
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
        non_idempotent: "issue-permit",
        idempotent: "lookup-permit",
    };
    /// The framing cooperative Rāmis Kopā.
    pub const FRAMING: Self = Self {
        domains: ["riga-a", "riga-b", "riga-c"],
        model: "nutmeg-pool",
        service: "order-desk",
        long: "proposal",
        short: "glass-check",
        non_idempotent: "place-order",
        idempotent: "lookup-stock",
    };

    /// Builds the preset `ordinary`.
    pub fn preset(&self) -> anyhow::Result<Preset> {
        let preset = json!({
            "models": { self.model: { "context": 32_000 } },
            "tasks": {
                self.short: { "long": false, "max_tokens": 64, "deadline_ms": 20_000 },
                self.long: { "long": true, "max_tokens": 8_192, "deadline_ms": 120_000 },
            },
            "services": {
                self.service: {
                    self.non_idempotent: { "idempotent": false },
                    self.idempotent: { "idempotent": true },
                },
            },
            "limits": { "queue": 256, "call_deadline_ms": 10_000 },
            "weights": { "stall": 2.0, "domains": 2.0, "gap": 1.0, "preemptions": 1.0 },
        });
        serde_json::from_value(preset).context("build preset")
    }
}

/// Builds the preset `ordinary` of the Permit Desk.
pub fn preset() -> anyhow::Result<Preset> {
    Deployment::PERMIT_DESK.preset()
}
