//! Leases that engines granted.

use std::fmt;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use tokio::runtime::Handle;

use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// A lease on capacity of an engine, which is released on drop unless a request uses it.
///
/// A client may disconnect and an engine may begin to leave at any moment between the call and the
/// send. Without the release, capacity would stay reserved for a request that never comes.
pub struct Lease {
    node: Arc<Node>,
    endpoint: EndpointInfo,
    id: String,
    expires_at: Moment,
    is_open: bool,
}

impl Lease {
    /// Creates a lease with the id that the engine assigned. The engine counts its time from some
    /// moment after the call was sent, so a lease that ends `expires_at` by the time of the call
    /// has not expired earlier at the engine.
    pub fn new(node: &Arc<Node>, endpoint: &EndpointInfo, id: &str, expires_at: Moment) -> Self {
        let (node, endpoint, id) = (Arc::clone(node), endpoint.clone(), id.to_owned());
        Self { node, endpoint, id, expires_at, is_open: true }
    }

    /// Uses the lease for a request that is sent now; returns its id, or `None` if it has expired.
    pub fn use_now(mut self, now: Moment) -> Option<String> {
        self.is_open = false;
        if now < self.expires_at {
            self.count_end("taken");
            return Some(std::mem::take(&mut self.id));
        }
        self.count_end("failed");
        lock(&self.node.tables).dispatcher.holds.record_expiry(&self.endpoint.id, now);
        None
    }

    fn count_end(&self, end: &str) {
        self.node.metrics.load.holds.with_label_values(&[end]).inc();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.count_end("dropped");
        tracing::info!(event = "lease_dropped", endpoint = %self.endpoint.id);
        // There is no runtime any more if the process ends; the lease then expires.
        let Ok(runtime) = Handle::try_current() else { return };
        let node = Arc::clone(&self.node);
        let (endpoint, id) = (self.endpoint.clone(), std::mem::take(&mut self.id));
        runtime.spawn(async move {
            if let Err(error) = engine_call::drop_hold(&node, &endpoint, &id).await {
                tracing::debug!(event = "lease_not_released", endpoint = %endpoint.id, %error);
            }
        });
    }
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lease")
            .field("endpoint", &self.endpoint.id)
            .field("id", &self.id)
            .field("expires_at", &self.expires_at)
            .finish_non_exhaustive()
    }
}
