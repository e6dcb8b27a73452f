//! Results of requests for leases.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use super::client_request::ClientRequest;
use super::lease::Lease;

/// What became of a request's lease before the request is sent.
#[derive(Debug, Default)]
pub enum LeaseResult {
    /// None was requested.
    #[default]
    Unasked,
    /// The engine granted it.
    Granted(Lease),
    /// The engine is full.
    Full,
    /// The engine gave no usable answer in time.
    Failed,
}

impl LeaseResult {
    /// Uses the lease for a request that is sent now, and logs what became of it; returns the id of a
    /// lease that is still valid.
    pub fn use_for(
        self,
        request: &ClientRequest,
        endpoint: &EndpointInfo,
        now: Moment,
    ) -> Option<String> {
        let lease = match self {
            Self::Unasked => return None,
            Self::Granted(lease) => lease.use_now(now),
            Self::Full | Self::Failed => None,
        };
        let end = if lease.is_some() { "taken" } else { "failed" };
        tracing::info!(event = "sent", request = %request.id, endpoint = %endpoint.id, lease = end);
        lease
    }
}
