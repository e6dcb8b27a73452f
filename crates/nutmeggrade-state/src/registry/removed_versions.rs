//! Versions of endpoints that were removed.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use crate::stream_table::STREAM_RETENTION;

/// Versions of endpoints that were removed within the time in which a client may take up a stream that
/// began there, and when the last of them was removed.
#[derive(Debug, Default)]
pub struct RemovedVersions(BTreeMap<(ServiceId, VersionId), Moment>);

impl RemovedVersions {
    /// Records that an endpoint was removed.
    pub fn note(&mut self, endpoint: &EndpointInfo, now: Moment) {
        if let Some(version) = &endpoint.version {
            self.0.insert((endpoint.service.clone(), version.clone()), now);
        }
    }

    /// Drops what was removed long ago.
    pub fn forget(&mut self, now: Moment) {
        self.0.retain(|_, removed_at| now.since(*removed_at) <= STREAM_RETENTION);
    }

    /// Lists the versions of a service.
    pub fn of(&self, service: &ServiceId) -> impl Iterator<Item = &VersionId> {
        self.0.keys().filter(move |(s, _)| s == service).map(|(_, version)| version)
    }
}
