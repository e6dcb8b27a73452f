//! Endpoints as the platform's instance list shows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, EndpointId, ModelId, ServiceId};

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine and the models it has loaded.
    Engine {
        /// Models that can be asked for.
        models: BTreeSet<ModelId>,
        /// Memory for key/value cache, in tokens.
        memory: u64,
    },
    /// A plain service.
    Service {
        /// The service that this endpoint is a replica of.
        service: ServiceId,
    },
}

/// Whether the platform says that an endpoint stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service.
    Live,
    /// About to go; gets no new work.
    Leaving,
}

/// One row of the platform's instance list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it stays.
    pub state: EndpointState,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// What it serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}
