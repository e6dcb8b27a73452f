//! Finds another endpoint for a request whose endpoint is silent.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, RouteKind};
use nutmeggrade_policy::dispatch::{DispatchRequest, Health};
use tokio::time::sleep;

use super::RequestHandler;
use super::ready_endpoint::ReadyEndpoint;
use crate::reach::{self, Reach};
use crate::relay::lease_call;
use crate::relay::lease_result::LeaseResult;
use crate::relay::reservation;
use crate::relay::shutdown;
use crate::tables::lock;

/// Interval between checks whether an engine that is silent towards a request counts as stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before another search, after one that found no endpoint.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

impl RequestHandler {
    /// Watches whether an engine stays silent towards the request.
    pub(super) fn watch_for_stall(&self, endpoint: &ReadyEndpoint) {
        if self.request.prompt.is_some() {
            let (limits, now) = (self.request.silence_limits(), self.node.now());
            let reservation = &endpoint.reservation;
            let stalls = &mut lock(&self.node.tables).stalls;
            stalls.begin(reservation.ticket, &reservation.endpoint.id, limits, now);
        }
    }

    /// Completes with another endpoint once the request's endpoint has been silent for too long and the
    /// other one can take the request at once; never completes if the request must not be sent again.
    ///
    /// An endpoint that is silent may be sound and about to answer. What was sent to it is therefore
    /// given up only for another endpoint, and never for a search that may find none.
    pub(super) async fn replacement(&self, silent: &EndpointInfo) -> ReadyEndpoint {
        if !self.attempt.may_send_again() {
            return std::future::pending().await;
        }
        self.until_silent(&silent.id).await;
        self.log_silence(&silent.id);
        let mut is_counted = false;
        let mut search = self.dispatch_request.clone();
        search.is_canary = false;
        search.avoid.insert(silent.id.clone());
        loop {
            if reach::check(&self.node, silent).await == Reach::Reached {
                if !std::mem::replace(&mut is_counted, true) {
                    self.node.update_health(&silent.id, Health::record_failure);
                }
                if let Some(ready) = self.find_ready(&mut search).await {
                    return ready;
                }
            }
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Waits until an endpoint has been silent towards the request for too long: an engine that runs a
    /// resumable request as soon as it counts as stalled.
    async fn until_silent(&self, endpoint: &EndpointId) {
        if self.request.route.kind == RouteKind::Idempotent {
            return sleep(self.request.resend_delay(self.node.now())).await;
        }
        sleep(self.request.silence_limits().first).await;
        loop {
            sleep(STALL_CHECK_INTERVAL).await;
            let now = self.node.now();
            let tables = lock(&self.node.tables);
            if tables.dispatcher.load_table.health(endpoint).is_some_and(|h| h.is_stalled(now)) {
                return;
            }
        }
    }

    /// Searches an endpoint that can take the request at once. One that can't be connected to is left
    /// out of later searches.
    async fn find_ready(&self, search: &mut DispatchRequest) -> Option<ReadyEndpoint> {
        let request = &self.request;
        shutdown::check_request(&self.node, request).ok()?;
        if !self.node.allows_resend(&request.service) {
            return None;
        }
        search.ticket = self.node.ticket();
        let reservation = reservation::reserve(&self.node, request, search).await.ok()?;
        let endpoint = &reservation.endpoint;
        let lease = lease_call::request(&self.node, request, search, endpoint).await;
        if matches!(lease, LeaseResult::Full) {
            return None;
        }
        match self.connect(endpoint).await {
            Ok(connection) => self.node.take_resend(&request.service).then_some(ReadyEndpoint {
                reservation,
                lease,
                connection,
            }),
            Err(error) => {
                self.note_unreachable(endpoint, &error).await;
                search.avoid.insert(endpoint.id.clone());
                None
            }
        }
    }
}
