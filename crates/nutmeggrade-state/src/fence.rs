//! Fence against new work on an isolated instance.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Stops new work on an instance that may miss what operators took out of service.
///
/// An instance partitioned from the platform and from most peers keeps an old configuration in
/// force and would send work into a failure domain that was taken out of service; the symptom is
/// requests at that domain's engines after the change. Only two kinds of evidence count: a response
/// of the platform about the configuration, as of the moment of the request, and contact with more
/// than half of the instances, as of this instance's heartbeats that they echoed. During an outage
/// of the platform all instances hear from each other and continue; a minority that is partitioned
/// together stops. After `limit` without either, new work is rejected. A process that resumes after
/// a freeze sees the gap on its monotonic clock before it sends anything, and messages buffered
/// meanwhile do not reopen the fence.
#[derive(Debug)]
pub struct Fence {
    limit: Duration,
    platform_contact: Option<Moment>,
    peer_contact: Option<Moment>,
}

impl Fence {
    /// Creates a fence that is closed until the first contact.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, platform_contact: None, peer_contact: None }
    }

    /// Records a response of the platform to a configuration request sent at `requested_at`.
    pub fn record_platform_contact(&mut self, requested_at: Moment) {
        self.platform_contact = self.platform_contact.max(Some(requested_at));
    }

    /// Records the moment as of which this instance was in contact with a majority.
    pub fn record_peer_contact(&mut self, as_of: Option<Moment>) {
        self.peer_contact = self.peer_contact.max(as_of);
    }

    /// Returns the moment of the last configuration request that got a response.
    pub const fn platform(&self) -> Option<Moment> {
        self.platform_contact
    }

    /// Returns whether new work must be rejected.
    pub fn is_closed(&self, now: Moment) -> bool {
        let last_contact = self.platform_contact.max(self.peer_contact);
        last_contact.is_none_or(|at| now.since(at) > self.limit)
    }
}
