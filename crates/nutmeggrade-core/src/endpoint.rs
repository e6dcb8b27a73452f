//! Endpoints as listed by the platform.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, EndpointId, ModelId, ServiceId};

/// The type of an endpoint and what it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Models that the engine has loaded.
        models: BTreeSet<ModelId>,
        /// Capacity of the key/value cache, in tokens.
        memory: u64,
    },
    /// A plain service.
    Service {
        /// The service that this endpoint is a replica of.
        service: ServiceId,
    },
}

/// Whether an endpoint stays, according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service.
    Live,
    /// Shutting down; receives no new work.
    Leaving,
}

/// An entry of the platform's endpoint list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it stays in service.
    pub state: EndpointState,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Type of the endpoint and what it serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}
