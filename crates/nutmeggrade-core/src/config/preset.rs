//! Presets: named sets of limits, classes and weights that operators switch between.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{OperationClass, TaskClass, Weights};
use crate::id::{EndpointId, ModelId, ServiceId, TaskId};

/// Limits on queueing, deadlines and weight loads.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests queued on one instance.
    pub queue: u32,
    /// Deadline of a service call that sets none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_deadline_ms")]
    pub call_deadline: Duration,
    /// Maximum number of concurrent loads from the weight store, fleet-wide.
    #[serde(default = "default_loads")]
    pub loads: u32,
}

/// Concurrent loads if a preset sets none: one at a time is slow but never overloads the store.
const fn default_loads() -> u32 {
    1
}

/// A model that callers may request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelClass {
    /// Maximum length of prompt and response together, in tokens.
    pub context: u64,
    /// Engines that may serve the model; if absent, every engine that has it loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<BTreeSet<EndpointId>>,
}

/// A set of limits, classes and weights that are in force together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Models offered to callers.
    pub models: BTreeMap<ModelId, ModelClass>,
    /// Task classes that callers may select.
    pub tasks: BTreeMap<TaskId, TaskClass>,
    /// Operations of plain services.
    pub services: BTreeMap<ServiceId, BTreeMap<String, OperationClass>>,
    /// Limits on queueing, deadlines and weight loads.
    pub limits: Limits,
    /// Relative weights of the deployment's objectives.
    pub weights: Weights,
}

impl Preset {
    /// Returns whether an engine may serve a model.
    pub fn allows_engine(&self, model: &ModelId, engine: &EndpointId) -> bool {
        let Some(class) = self.models.get(model) else { return false };
        class.endpoints.as_ref().is_none_or(|allowed| allowed.contains(engine))
    }
}
