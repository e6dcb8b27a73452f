//! Measurements of the endpoints' paces.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::dispatch::PaceChange;

use super::Tables;

impl Tables {
    /// Records a gap between two events of an engine's stream.
    pub fn note_gap(
        &mut self,
        endpoint: &EndpointInfo,
        gap: Duration,
        now: Moment,
    ) -> Option<PaceChange> {
        if !self.dispatcher.paces.is_active(&endpoint.service) || !self.is_current(endpoint) {
            return None;
        }
        let running = self.dispatcher.load_table.load(&endpoint.id).requests;
        let (paces, measured) = (&mut self.dispatcher.paces, (gap, running));
        paces.record_gap(&endpoint.service, &endpoint.id, measured, now)
    }

    /// Records a figure of its pace that an endpoint stated.
    pub fn note_pace(&mut self, endpoint: &EndpointInfo, hundredths: u32, now: Moment) {
        if self.is_current(endpoint) {
            let paces = &mut self.dispatcher.paces;
            paces.record_figure(&endpoint.service, &endpoint.id, hundredths, now);
        }
    }

    /// Returns whether an endpoint is registered and has not been started again since. Streams go on
    /// for a while after the entry of their endpoint is gone.
    fn is_current(&self, endpoint: &EndpointInfo) -> bool {
        self.registry.get(&endpoint.id).is_some_and(|entry| entry.info.born == endpoint.born)
    }
}
