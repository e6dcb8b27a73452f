//! Checks of what endpoints ask of their callers.

use tokio::time::Instant;

use super::{Checker, SETTLE_TIME};
use crate::site::{find_backoff_violation, find_leaving_violation, find_limit_violation};
use crate::soak::endpoints::Incarnation;
use crate::soak::records::DisturbanceKind;

impl Checker<'_> {
    /// Checks that endpoints that limit their rates, asked for pauses or said that they leave were
    /// left alone.
    pub(super) fn check_notices(&mut self) {
        let mut violations = Vec::new();
        for incarnation in self.incarnations {
            let instance_of = |id: &str| self.requests.get(id).map(|r| r.instance);
            violations.extend(find_limit_violation(
                &incarnation.endpoint,
                instance_of,
                |n, start, end| self.is_excused(incarnation, n, start - SETTLE_TIME, end),
            ));
            violations.extend(find_backoff_violation(
                &incarnation.endpoint,
                instance_of,
                |n, start, end| self.is_excused(incarnation, n, start, end),
            ));
            let sender_of = |id: &str| self.requests.get(id).map(|r| (r.instance, r.sent));
            violations.extend(find_leaving_violation(
                &incarnation.endpoint,
                sender_of,
                |n, start, end| self.was_restarted(n, start, end),
            ));
        }
        self.violations.append(&mut violations);
    }

    /// Returns whether an instance was restarted or frozen in a period, its connections to the endpoint
    /// were held up, or the endpoint read nothing. Unlike other checks, this one makes no allowance for a
    /// store that is away or for new settings.
    fn is_excused(
        &self,
        incarnation: &Incarnation,
        instance: usize,
        start: Instant,
        end: Instant,
    ) -> bool {
        self.was_restarted(instance, start, end)
            || incarnation.had_link_fault(start, end)
            || incarnation.was_silent(start, end)
    }

    /// Returns whether an instance was restarted or frozen in a period.
    fn was_restarted(&self, instance: usize, start: Instant, end: Instant) -> bool {
        let is_restart = |kind| matches!(kind, DisturbanceKind::Process | DisturbanceKind::Stop);
        self.records.was_disturbed(instance, (start, end), is_restart)
    }
}
