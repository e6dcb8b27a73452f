//! Presets: what operators choose between.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{OperationClass, TaskClass, Weights};
use crate::id::{EndpointId, ModelId, ServiceId, TaskId};

/// Limits that a preset sets on waiting.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Most requests that wait on one instance.
    pub queue: u32,
    /// Deadline of a service call that names none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_deadline_ms")]
    pub call_deadline: Duration,
    /// Loads from the weight store at a time, over the whole fleet.
    #[serde(default = "default_loads")]
    pub loads: u32,
}

/// Loads at a time where a preset names none: one engine after another is slow but never too much.
const fn default_loads() -> u32 {
    1
}

/// One model that callers may ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelClass {
    /// Longest prompt and answer together, in tokens.
    pub context: u64,
    /// Engines that may serve it; empty for every engine that has it loaded.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub endpoints: BTreeSet<EndpointId>,
}

/// One preset: the limits, classes and weights in force together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Models on offer.
    pub models: BTreeMap<ModelId, ModelClass>,
    /// Task classes that callers may name.
    pub tasks: BTreeMap<TaskId, TaskClass>,
    /// Operations of plain services.
    pub services: BTreeMap<ServiceId, BTreeMap<String, OperationClass>>,
    /// Limits on waiting.
    pub limits: Limits,
    /// What this deployment weighs most.
    pub weights: Weights,
}

impl Preset {
    /// Says whether an engine may serve a model.
    pub fn lets_serve(&self, model: &ModelId, engine: &EndpointId) -> bool {
        let Some(class) = self.models.get(model) else { return false };
        class.endpoints.is_empty() || class.endpoints.contains(engine)
    }
}
