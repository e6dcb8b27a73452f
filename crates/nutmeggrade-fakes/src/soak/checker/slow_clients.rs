//! Checks that clients which read slowly get their whole responses.

use super::Checker;
use crate::soak::records::{Outcome, RequestRecord};

impl Checker<'_> {
    /// Checks the losses of clients that read slowly, other than by time, which don't depend on how fast the
    /// machine is.
    pub(super) fn check_slow_clients(&mut self) {
        let is_cut = |r: &&RequestRecord| match &r.outcome {
            Outcome::ConnectionClosed => true,
            Outcome::Response(response) => !response.is_whole,
            Outcome::TimedOut | Outcome::Cancelled => false,
        };
        let cut: Vec<RequestRecord> = self
            .requests
            .values()
            .filter(|r| r.is_slow && !r.has_expired())
            .filter(is_cut)
            .cloned()
            .collect();
        for request in &cut {
            self.check_losses(request);
        }
    }
}
