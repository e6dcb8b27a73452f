//! Logs and counts what happens to a request.

use http::response::Parts;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_wire::answer;

use super::handler::RequestHandler;
use super::refusal;
use crate::tables::lock;

impl RequestHandler {
    /// Records an outcome for the rollout of the endpoint's version.
    pub(super) fn record_outcome(&self, endpoint: &EndpointInfo, outcome: Outcome) {
        let now = self.node.now();
        lock(&self.node.tables).note_outcome(endpoint, &self.request.route.name, outcome, now);
    }

    pub(super) fn record_send(&self, result: &str, endpoint: &EndpointId) {
        self.node.metrics.sends.with_label_values(&[result]).inc();
        if result != "answered" {
            tracing::info!(event = "send", request = %self.request.id, endpoint = %endpoint,
                end = result, sends = self.attempt.sends(), run = self.attempt.run().as_str());
        }
    }

    /// Logs how long the endpoint has been silent towards the request, and towards those requests of this
    /// instance that got something from it before.
    pub(super) fn log_silence(&self, endpoint: &EndpointId) {
        let now = self.node.now();
        let last_sign = lock(&self.node.tables).stalls.last_sign(endpoint);
        tracing::info!(event = "endpoint_silent", request = %self.request.id, endpoint = %endpoint,
            ms = now.since(self.open.last_sign().unwrap_or(now)).as_millis(),
            all_ms = last_sign.map(|at| now.since(at).as_millis()));
    }

    /// Logs that the endpoint could not be connected to, and why: an endpoint that died refuses
    /// connections, one that is cut off doesn't answer.
    pub(super) fn record_unsent(&self, endpoint: &EndpointId, why: &str) {
        self.node.metrics.sends.with_label_values(&["not_sent"]).inc();
        tracing::info!(event = "send", request = %self.request.id, endpoint = %endpoint,
            end = "not_sent", why, sends = self.attempt.sends(), run = self.attempt.run().as_str());
    }

    /// Logs that the client gets a response. One that is still open is logged again when it ends.
    pub(super) fn log_response(&mut self, head: &Parts, is_open: bool) {
        self.pending.finish();
        let elapsed = self.node.now().since(self.request.arrived_at);
        self.node.metrics.first.observe(elapsed.as_secs_f64());
        let status = head.status.as_u16().to_string();
        let framing = answer::read_framing(&head.headers).as_str();
        self.node.metrics.requests.with_label_values(&["answered", &status]).inc();
        tracing::info!(event = "answered", request = %self.request.id,
            route = self.request.route.name, endpoint = self.pending.endpoint_name(), status,
            open = is_open, framing, sends = self.attempt.sends(), ms = elapsed.as_millis());
    }

    pub(super) fn log_failure(&mut self, failure: &Failure) {
        self.pending.finish();
        let elapsed = self.node.now().since(self.request.arrived_at);
        refusal::count(&self.node, "failed", failure.code);
        tracing::info!(event = "failed", request = %self.request.id,
            route = self.request.route.name, endpoint = self.pending.endpoint_name(),
            code = failure.code.number(), name = failure.code.name(), run = failure.run.as_str(),
            sends = self.attempt.sends(), ms = elapsed.as_millis(),
            back_ms = failure.retry_after.unwrap_or_default().as_millis(), why = failure.detail);
    }
}
