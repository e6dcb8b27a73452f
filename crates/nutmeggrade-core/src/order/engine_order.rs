//! Orders as sent to engines.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::ModelRef;

/// Path of an engine's orders: `POST` sends an order, `GET` reads the engine's state.
pub const ORDERS_PATH: &str = "/orders";

/// Phases of a generation that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
    /// Both prefill and decode.
    #[default]
    Both,
}

impl Role {
    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Both => "both",
        }
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Loads a model, version or adapter.
    Load {
        /// The item to load.
        load: ModelRef,
    },
    /// Unloads a model, version or adapter.
    Unload {
        /// The item to unload.
        load: ModelRef,
    },
    /// Changes the role.
    Role {
        /// The new role.
        role: Role,
    },
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load { load } => write!(f, "load {load}"),
            Self::Unload { load } => write!(f, "unload {load}"),
            Self::Role { role } => write!(f, "role {}", role.as_str()),
        }
    }
}

/// An order with the sender's fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The owner's epoch; an engine that checks fencing refuses one below the highest seen.
    pub fence: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// State reported by an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing token seen; 0 for an engine that does not check fencing.
    pub fence: u64,
    /// Loaded items.
    pub loaded: BTreeSet<ModelRef>,
    /// Items being loaded.
    pub loading: BTreeSet<ModelRef>,
    /// The role.
    pub role: Role,
}
