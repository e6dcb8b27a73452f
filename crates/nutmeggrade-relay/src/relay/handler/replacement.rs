//! Finds another endpoint for a request whose endpoint is silent.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, RouteKind};
use nutmeggrade_platform::Backlog;
use nutmeggrade_policy::dispatch::{DispatchRequest, Health};
use tokio::time::sleep;

use super::RequestHandler;
use super::ready_endpoint::ReadyEndpoint;
use crate::reach::{self, Reach};
use crate::relay::exchange::take_send;
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
    pub(super) async fn replacement(
        &self,
        silent: &EndpointInfo,
        backlog: &Backlog,
    ) -> ReadyEndpoint {
        if !self.attempt.may_send_again() {
            return std::future::pending().await;
        }
        self.until_silent(&silent.id, backlog).await;
        self.log_silence(&silent.id);
        if reach::check(&self.node, silent).await == Reach::Reached {
            self.node.update_health(&silent.id, Health::record_failure);
        }
        let mut search = self.dispatch_request.clone();
        search.is_canary = false;
        search.avoid.insert(silent.id.clone());
        loop {
            if let Some(ready) = self.find_ready(&silent.id, backlog, &mut search).await {
                return ready;
            }
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Waits until an endpoint that has read the request has been silent towards it for too long: an engine
    /// that runs a resumable request as soon as it counts as stalled.
    async fn until_silent(&self, endpoint: &EndpointId, backlog: &Backlog) {
        if self.request.route.kind == RouteKind::Idempotent {
            return backlog.silence(self.request.resend_delay(self.node.now())).await;
        }
        backlog.silence(self.request.silence_limits().first).await;
        while !self.is_silent(endpoint, backlog) {
            sleep(STALL_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether an endpoint that was silent towards the request still is, as far as other requests
    /// tell: an engine that sends to others has the request in its queue.
    fn is_silent(&self, endpoint: &EndpointId, backlog: &Backlog) -> bool {
        if backlog.exists() {
            return false;
        }
        if self.request.route.kind == RouteKind::Idempotent {
            return true;
        }
        let now = self.node.now();
        let tables = lock(&self.node.tables);
        let health = tables.dispatcher.load_table.health(endpoint);
        health.is_some_and(|h| h.is_stalled(now)) && !tables.stalls.is_alive(endpoint, now)
    }

    /// Returns whether the request may leave a silent endpoint now, if there is another one for it.
    fn may_leave(&self, silent: &EndpointId, backlog: &Backlog) -> bool {
        self.is_silent(silent, backlog)
            && !self.node.is_cut_off(&self.request.service)
            && shutdown::check_request(&self.node, &self.request).is_ok()
            && self.node.allows_resend(&self.request.service)
    }

    /// Searches an endpoint that can take the request at once in place of a silent one. An endpoint that
    /// can't be connected to is left out of later searches.
    async fn find_ready(
        &self,
        silent: &EndpointId,
        backlog: &Backlog,
        search: &mut DispatchRequest,
    ) -> Option<ReadyEndpoint> {
        if !self.may_leave(silent, backlog) {
            return None;
        }
        let request = &self.request;
        search.ticket = self.node.ticket();
        let mut reservation = reservation::reserve(&self.node, request, search).await.ok()?;
        let endpoint = &reservation.endpoint;
        let lease = lease_call::request(&self.node, request, search, endpoint).await;
        if matches!(lease, LeaseResult::Full) {
            return None;
        }
        let connection = match self.connect(endpoint).await {
            Ok(connection) => connection,
            Err(error) => {
                if self.note_unreachable(endpoint, &error).await == Reach::Reached {
                    search.avoid.insert(endpoint.id.clone());
                }
                return None;
            }
        };
        // The search may have taken seconds.
        if !self.may_leave(silent, backlog) {
            return None;
        }
        let now = self.node.now();
        take_send(&mut lock(&self.node.tables), request, &reservation, now).ok()?;
        reservation.has_turn = true;
        let is_taken = self.node.take_resend(&request.service);
        is_taken.then_some(ReadyEndpoint { reservation, lease, connection })
    }
}
