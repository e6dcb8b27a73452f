//! What an instance tells a peer about a client's request that the peer serves in its place.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{ServiceId, WorkspaceId};
use crate::routing::RouteKind;

/// Request header between instances that holds a [`ForwardedRequest`] in JSON.
pub const FORWARDED_HEADER: &str = "nutmeggrade-forwarded";

/// The routing of a client's request that an instance forwards to a peer.
///
/// The instance that the client connected to authorizes and routes the request by its own
/// configuration, and the peer only serves it: two requests on one connection are never handled by
/// different versions of the configuration.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Name of the route.
    pub route: String,
    /// Whether the request may be repeated and its response is a stream.
    pub kind: RouteKind,
    /// Target time to the response, or to a stream's first event, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target: Duration,
    /// Maximum number of endpoints that the peer sends the request to.
    pub attempts: u32,
    /// The service that was selected.
    pub service: ServiceId,
    /// The client's workspace.
    pub workspace: Option<WorkspaceId>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}
