//! The form of a trace.

use std::collections::BTreeMap;

use nutmeggrade_fakes::fleet::{Deployment, Plan};
use serde::Deserialize;
use serde_json::Value;

/// What was asked, what failed, and how it ends.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    #[serde(rename = "told")]
    _told: String,
    deployment: Names,
    nodes: usize,
    engines: usize,
    pub steps: Vec<Step>,
    pub outcome: Outcome,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Names {
    PermitDesk,
    Framing,
}

/// How a trace ends.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    pub streams_whole: usize,
    /// How often the call of each subject ran.
    pub ran: BTreeMap<String, u64>,
}

/// One event, counted from the start.
#[derive(Debug, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub what: What,
}

/// What happens.
#[derive(Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum What {
    Stream { workspace: String, entry: usize, long: bool, prompt: String },
    Once { workspace: String, entry: usize, key: String, subject: String, code: u64 },
    Idempotent { workspace: String, entry: usize, subject: String },
    Fault { process: String, faults: Value },
    Domain { direction: String, name: String },
    Freeze { process: String },
    Wake { process: String },
    Kill { process: String },
}

impl Trace {
    pub fn deployment(&self) -> Deployment {
        match self.deployment {
            Names::PermitDesk => Deployment::PERMIT_DESK,
            Names::Framing => Deployment::FRAMING,
        }
    }

    pub fn plan(&self) -> Plan {
        let plan = Plan::default().with_deployment(self.deployment());
        plan.with_nodes(self.nodes).with_engines(self.engines)
    }
}

impl Step {
    pub fn is_request(&self) -> bool {
        matches!(self.what, What::Stream { .. } | What::Once { .. } | What::Idempotent { .. })
    }
}
