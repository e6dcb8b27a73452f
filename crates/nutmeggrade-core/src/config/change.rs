//! Changes of the configuration.

use serde::{Deserialize, Serialize};

use super::Preset;
use crate::id::{DomainId, EndpointId, PresetId};

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a preset.
    PutPreset {
        /// The preset's name.
        preset: PresetId,
        /// The preset's content.
        content: Box<Preset>,
    },
    /// Puts a preset in force.
    UsePreset {
        /// The preset's name.
        preset: PresetId,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
    },
    /// Brings a failure domain back.
    DomainIn {
        /// The failure domain.
        domain: DomainId,
    },
    /// Takes an endpoint out of service.
    EndpointOut {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Brings an endpoint back.
    EndpointIn {
        /// The endpoint.
        endpoint: EndpointId,
    },
}
