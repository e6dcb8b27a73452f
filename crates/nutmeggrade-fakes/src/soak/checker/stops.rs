//! Checks that planned stops cost no answers.

use tokio::time::{Duration, Instant};

use super::{Checker, SETTLE_TIME, outcome_name};
use crate::site::ReceivedRequest;
use crate::soak::records::{DisturbanceKind, RequestRecord};

/// Time after the grace period until which a lost answer counts.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Time after SIGTERM up to which clients may send requests that are cut in the last sixth of the grace
/// period.
const LATE_SEND_LIMIT: Duration = Duration::from_secs(3);

impl Checker<'_> {
    /// Checks that each request that was passed on has a complete answer, though its instance was
    /// stopped.
    pub(super) fn check_stops(&mut self, grace: Duration) {
        let mut violations = Vec::new();
        let stops = self.records.stops();
        for request in self.requests.values().filter(|r| r.outcome.is_lost()) {
            let ran: Vec<_> = self
                .received
                .get(&request.id)
                .into_iter()
                .flatten()
                .filter(|(_, seen)| seen.ran)
                .collect();
            let is_around =
                |at: Instant| request.ended >= at && request.ended <= at + grace + STOP_MARGIN;
            let stop = stops.iter().find(|(n, at)| *n == request.instance && is_around(*at));
            let Some((_, stopped_at)) = stop.filter(|_| !ran.is_empty()) else { continue };
            let is_excused = request.has_expired()
                || self.was_harmed(request, &ran)
                || ran.iter().any(|(_, seen)| is_cut_late(request, seen, *stopped_at, grace));
            if is_excused {
                continue;
            }
            let since = |at: Instant| {
                let after = at.saturating_duration_since(*stopped_at).as_secs_f64();
                let before = stopped_at.saturating_duration_since(at).as_secs_f64();
                format!("{:+.3} s", after - before)
            };
            let endpoints: Vec<&str> =
                ran.iter().map(|(n, _)| self.incarnations[*n].endpoint.id()).collect();
            violations.push(format!(
                "LOST: {} on /{}/ ended with {} around the SIGTERM of instance {}: sent {}, ended {}, \
                 at {endpoints:?}{}",
                request.id,
                request.route,
                outcome_name(&request.outcome),
                request.instance,
                since(request.sent),
                since(request.ended),
                if self.was_silent(request, &ran) { ", silent meanwhile" } else { "" },
            ));
        }
        self.violations.append(&mut violations);
    }

    /// Returns whether a request may be cut by a stop of its instance, as it came early and ran until late in
    /// the grace period.
    pub(super) fn may_be_cut(
        &self,
        request: &RequestRecord,
        received: &[(usize, ReceivedRequest)],
        grace: Duration,
    ) -> bool {
        let stops = self.records.stops();
        stops.iter().filter(|(n, _)| *n == request.instance).any(|(_, stopped_at)| {
            received.iter().any(|(_, seen)| is_cut_late(request, seen, *stopped_at, grace))
        })
    }

    /// Returns whether an endpoint misbehaved towards the request, crashed or ended before its end, its
    /// link was harmed, its work had to move beside faulty endpoints, or the instance was killed or paused.
    fn was_harmed(&self, request: &RequestRecord, ran: &[&(usize, ReceivedRequest)]) -> bool {
        let (start, end) = (request.sent, request.ended);
        let is_process = |kind| kind == DisturbanceKind::Process;
        let settled = start - SETTLE_TIME;
        self.records.was_disturbed(request.instance, (settled, end), is_process)
            || ran.iter().any(|(n, seen)| {
                let incarnation = &self.incarnations[*n];
                // How an endpoint handles a request is settled as it reads it.
                incarnation.had_fault(start, seen.at)
                    || incarnation.had_link_fault(settled, end)
                    || incarnation.gone_at.is_some_and(|gone_at| gone_at <= end)
                    || (incarnation.left_at.is_some_and(|left_at| left_at <= end)
                        && self.had_any_fault(settled, end))
            })
    }

    /// Returns whether any endpoint misbehaved or had a faulty link in a period. The work of one that
    /// leaves is moved, and it isn't known to which other one.
    fn had_any_fault(&self, start: Instant, end: Instant) -> bool {
        self.incarnations.iter().any(|i| i.had_fault(start, end) || i.had_link_fault(start, end))
    }

    fn was_silent(&self, request: &RequestRecord, ran: &[&(usize, ReceivedRequest)]) -> bool {
        ran.iter().any(|(n, _)| self.incarnations[*n].was_silent(request.sent, request.ended))
    }
}

/// Returns whether a request that came no later than shortly after SIGTERM was cut in the last sixth of the
/// grace period, while its endpoint worked on it.
fn is_cut_late(
    request: &RequestRecord,
    seen: &ReceivedRequest,
    stopped_at: Instant,
    grace: Duration,
) -> bool {
    request.sent <= stopped_at + LATE_SEND_LIMIT
        && request.ended <= stopped_at + grace + STOP_MARGIN
        && ran_until(request, seen, stopped_at + grace * 5 / 6)
}

/// Returns whether a request was cut no sooner than at a moment, and its endpoint still worked on it.
fn ran_until(request: &RequestRecord, seen: &ReceivedRequest, at: Instant) -> bool {
    request.ended >= at && seen.ended.is_none_or(|ended| ended >= at)
}
