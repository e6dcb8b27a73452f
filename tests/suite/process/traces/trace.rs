//! File format of a trace.

use std::collections::BTreeMap;

use nutmeggrade_fakes::fleet::{Deployment, Plan};
use serde::Deserialize;
use serde_json::Value;

/// A recorded sequence of requests and failures with its expected outcome.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    #[serde(rename = "told")]
    _description: String,
    deployment: DeploymentName,
    nodes: usize,
    engines: usize,
    pub steps: Vec<Step>,
    pub outcome: Outcome,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DeploymentName {
    PermitDesk,
    Framing,
}

/// Expected outcome of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    pub streams_whole: usize,
    /// Number of runs of the call for each subject.
    pub ran: BTreeMap<String, u64>,
}

/// One event at a time since the start.
#[derive(Debug, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub action: Action,
}

/// A request of a client or an injected failure.
#[derive(Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
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
            DeploymentName::PermitDesk => Deployment::PERMIT_DESK,
            DeploymentName::Framing => Deployment::FRAMING,
        }
    }

    pub fn plan(&self) -> Plan {
        let plan = Plan::default().with_deployment(self.deployment());
        plan.with_nodes(self.nodes).with_engines(self.engines)
    }
}

impl Step {
    pub fn is_request(&self) -> bool {
        matches!(
            self.action,
            Action::Stream { .. } | Action::Once { .. } | Action::Idempotent { .. }
        )
    }
}
