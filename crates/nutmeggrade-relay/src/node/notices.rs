//! What endpoints ask of their callers.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RateLimit;
use nutmeggrade_wire::notice::{LimitNotice, Notice};

use super::Node;
use crate::tables::lock;

impl Node {
    /// Records what an endpoint asks for in a response.
    pub fn note_notice(&self, endpoint: &EndpointId, notice: &Notice) {
        let mut tables = lock(&self.tables);
        let old = tables.rate_limits.get(endpoint).copied();
        let new = match notice.limit {
            LimitNotice::Stated(limit) => Some(limit),
            LimitNotice::Absent => None,
            LimitNotice::Malformed => old,
        };
        if old == new {
            return;
        }
        match new {
            Some(limit) => tables.rate_limits.insert(endpoint.clone(), limit),
            None => tables.rate_limits.remove(endpoint),
        };
        let count = i64::try_from(tables.rate_limits.len()).unwrap_or(i64::MAX);
        drop(tables);
        self.metrics.limited_endpoints.set(count);
        let text =
            |limit: Option<RateLimit>| limit.map_or_else(|| "-".to_owned(), |l| format!("{l}"));
        tracing::info!(event = "endpoint_limit", %endpoint, old = text(old), new = text(new));
    }
}
