//! Orders as engines take them.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::Load;

/// Path of an engine's orders: `POST` gives one, `GET` reads the state.
pub const ORDERS_PATH: &str = "/orders";

/// Which part of a generation an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Does both.
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

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load a model, version or adapter.
    Load {
        /// What to load.
        load: Load,
    },
    /// Free the memory of one.
    Unload {
        /// What to unload.
        load: Load,
    },
    /// Change the role.
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

/// An order with the fencing number of who gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The owner's epoch; an engine that checks refuses one below the highest it has seen.
    pub fence: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// What an engine says it has and does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number seen; 0 for an engine that does not check.
    pub fence: u64,
    /// What is loaded.
    pub loaded: BTreeSet<Load>,
    /// What is being loaded.
    pub loading: BTreeSet<Load>,
    /// The role.
    pub role: Role,
}
