//! Checks the observations of clients and endpoints against the system's guarantees.

mod answers;
mod notices;
mod slow_clients;
mod stops;
mod versions;

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use tokio::time::{Duration, Instant};

use self::answers::{find_change, find_error};
use super::endpoints::Incarnation;
use super::plan::Plan;
use super::records::{ConfigVersion, DisturbanceKind, Outcome, Records, RequestRecord};
use crate::site::ReceivedRequest;

/// Time around a silence in which requests that waited for its end arrive together.
const SILENCE_REACH: Duration = Duration::from_secs(1);
/// Time after a disturbance or fault during which time limits still don't apply.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit after which a leaving endpoint gets no new requests, with a margin for a busy machine.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
/// Limit after which a new configuration is in force, with the same margin.
const CONFIG_LIMIT: Duration = Duration::from_millis(2_500);
/// Limit after which an evacuated failure domain gets no new requests, with the same margin.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_500);
/// Window of the limit on resends.
const RESEND_WINDOW: Duration = Duration::from_secs(10);
/// Resends allowed in the window in addition to a fifth of the requests.
const EXTRA_RESENDS: usize = 54;
/// Requests that a cold engine may get per second: the rate of ten, 1.5 times, plus a tolerance of five.
const MAX_COLD_RATE: usize = 20;
/// Time after SIGTERM in which a new request is still certain to end within the grace period.
const SAFE_STOP_WINDOW: Duration = Duration::from_millis(1_200);
/// Statuses that guarantee that the request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The result of a soak.
#[derive(Debug)]
pub struct Verdict {
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Number of requests, and of those with a complete successful response.
    pub requests: (usize, usize),
    /// Number of requests by outcome; streams that were taken up count again by themselves.
    pub outcomes: BTreeMap<String, usize>,
    /// The faults and operator actions, with their times.
    pub actions: Vec<String>,
}

struct Checker<'a> {
    records: &'a Records,
    incarnations: &'a [Incarnation],
    /// By attempt id: the requests that endpoints received, with the index of the incarnation.
    received: BTreeMap<String, Vec<(usize, ReceivedRequest)>>,
    requests: BTreeMap<String, RequestRecord>,
    violations: Vec<String>,
    /// Grace period of the instances if streams may outlast it.
    outlasted_grace: Option<Duration>,
}

/// Checks a finished soak.
pub fn check(
    plan: &Plan,
    records: &Records,
    incarnations: &[Incarnation],
    log: &Path,
    actions: Vec<String>,
) -> anyhow::Result<Verdict> {
    let mut received: BTreeMap<String, Vec<(usize, ReceivedRequest)>> = BTreeMap::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        for request in incarnation.endpoint.seen() {
            received.entry(request.id().to_owned()).or_default().push((n, request));
        }
    }
    let all_requests = records.requests();
    let requests = all_requests.iter().map(|r| (r.id.clone(), r.clone())).collect();
    let mut checker = Checker {
        records,
        incarnations,
        received,
        requests,
        violations: records.violations(),
        outlasted_grace: plan.overlaps_ms.map(|_| plan.grace),
    };
    checker.check_executions();
    checker.check_responses();
    checker.check_versions();
    checker.check_stops(plan.grace);
    if plan.is_timed {
        checker.check_time_limits();
        checker.check_resends();
        checker.check_cold_rates();
        checker.check_notices();
    } else {
        checker.check_slow_clients();
    }
    let text = std::fs::read_to_string(log).context("read the log")?;
    let panics = text.lines().filter(|l| l.contains("panicked"));
    checker.violations.extend(panics.map(|l| format!("a panic: {l}")));
    let mut outcomes = BTreeMap::new();
    for request in &all_requests {
        let name = outcome_name(&request.outcome);
        if request.take_up.is_some() {
            *outcomes.entry(format!("taken up: {name}")).or_default() += 1;
        }
        *outcomes.entry(name).or_default() += 1;
    }
    let served = all_requests.iter().filter(|r| r.outcome.is_served()).count();
    Ok(Verdict {
        violations: checker.violations,
        requests: (all_requests.len(), served),
        outcomes,
        actions,
    })
}

fn outcome_name(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response(r) if r.is_whole => r.status.to_string(),
        Outcome::Response(r) => format!("{} truncated", r.status),
        Outcome::ConnectionClosed => "connection closed".to_owned(),
        Outcome::TimedOut => "timed out".to_owned(),
        Outcome::Cancelled => "client cancelled".to_owned(),
    }
}

impl Checker<'_> {
    fn add_violation(&mut self, description: String) {
        self.violations.push(description);
    }

    /// Checks that endpoints executed only requests that clients sent, unchanged and not too often.
    fn check_executions(&mut self) {
        let mut violations = Vec::new();
        for (id, received) in &self.received {
            let Some(request) = self.requests.get(id) else {
                violations.push(format!("{id} reached an endpoint but no client sent it"));
                continue;
            };
            let executions = received.iter().filter(|(_, s)| s.ran && !s.is_continued()).count();
            if executions > 1 && matches!(request.route, "once" | "draft") {
                violations
                    .push(format!("{id} on /{}/ was executed {executions} times", request.route));
            }
            for (_, seen) in received {
                violations.extend(find_change(request, seen).map(|found| format!("{id}: {found}")));
            }
            if executions > 0
                && self.records.config_versions().iter().all(|v| !v.keys.contains(&request.key))
            {
                violations.push(format!("{id} was executed with a key that was never valid"));
            }
        }
        self.violations.append(&mut violations);
    }

    /// Checks that clients got complete responses to their own requests, and that every status that
    /// rules out an execution is true.
    fn check_responses(&mut self) {
        let requests: Vec<RequestRecord> = self.requests.values().cloned().collect();
        for request in requests {
            let Outcome::Response(response) = &request.outcome else { continue };
            let is_signed = response.message.header("x-nutmeggrade-server-signature").is_some();
            let was_executed =
                self.received.get(&request.id).is_some_and(|all| all.iter().any(|(_, s)| s.ran));
            if NOT_EXECUTED_STATUSES.contains(&response.status) && was_executed && !is_signed {
                self.add_violation(format!(
                    "{} got {} but was executed",
                    request.id, response.status
                ));
            }
            if response.status == 200 {
                if let Some(found) = find_error(&request, response) {
                    self.add_violation(format!("{} on /{}/: {found}", request.id, request.route));
                }
            } else if is_signed && response.status != 500 {
                self.add_violation(format!("{}: {} with a signature", request.id, response.status));
            }
        }
    }

    /// Checks the guarantees with a time limit.
    fn check_time_limits(&mut self) {
        let versions = self.records.config_versions();
        let requests: Vec<RequestRecord> = self.requests.values().cloned().collect();
        for request in &requests {
            self.check_drains(request);
            self.check_config(request, &versions);
            self.check_losses(request);
        }
    }

    /// Returns whether an instance had no disturbance in a period or shortly before it.
    fn is_undisturbed(&self, instance: usize, start: Instant, end: Instant) -> bool {
        !self.records.was_disturbed(instance, (start - SETTLE_TIME, end), |_| true)
    }

    /// Checks that no new request reaches an endpoint past the limits after its leave or evacuation.
    fn check_drains(&mut self, request: &RequestRecord) {
        let mut violations = Vec::new();
        for (n, seen) in self.received.get(&request.id).into_iter().flatten() {
            if seen.is_continued() {
                continue;
            }
            let incarnation = &self.incarnations[*n];
            let is_healthy = incarnation.is_healthy(seen.at - SETTLE_TIME, seen.at);
            if let Some(left_at) = incarnation.left_at
                && seen.at > left_at + DRAIN_LIMIT
                && is_healthy
                && self.is_undisturbed(request.instance, left_at, seen.at)
            {
                violations.push(format!("{} reached an endpoint that had left", request.id));
            }
            let evacuation = self.records.evacuations().into_iter().find(|e| {
                e.domain == incarnation.domain
                    && seen.at > e.start + EVACUATION_LIMIT
                    && seen.at < e.end
            });
            if let Some(evacuation) = evacuation
                && is_healthy
                && self.is_undisturbed(request.instance, evacuation.start, seen.at)
            {
                violations.push(format!("{} reached an evacuated failure domain", request.id));
            }
        }
        self.violations.append(&mut violations);
    }

    /// Checks that the response matches a configuration that could be in force.
    fn check_config(&mut self, request: &RequestRecord, versions: &[ConfigVersion]) {
        let Outcome::Response(response) = &request.outcome else { return };
        let oldest =
            versions.iter().rposition(|v| v.at + CONFIG_LIMIT <= request.sent).unwrap_or(0);
        let possible: Vec<&ConfigVersion> =
            versions[oldest..].iter().filter(|v| v.at <= request.ended).collect();
        let allows = |v: &ConfigVersion| {
            v.keys.contains(&request.key) && (request.route != "late" || v.has_late)
        };
        let is_refused = matches!(response.status, 401 | 404);
        let is_wrong = (is_refused && possible.iter().all(|v| allows(v)))
            || (response.status == 200 && !possible.iter().any(|v| allows(v)));
        if is_wrong && self.is_undisturbed(request.instance, request.sent, request.ended) {
            let numbers: Vec<u64> = possible.iter().map(|v| v.number).collect();
            self.add_violation(format!(
                "{} on /{}/ with {} got {} while versions {numbers:?} could be in force",
                request.id, request.route, request.key, response.status
            ));
        }
    }

    /// Checks that a request has a complete response other than 502 and 504 if neither the instance nor
    /// the endpoints that received it were disturbed.
    fn check_losses(&mut self, request: &RequestRecord) {
        let received = self.received.get(&request.id);
        let Some(received) = received.filter(|_| request.outcome.is_lost()) else { return };
        let span = (request.sent - SETTLE_TIME, request.ended);
        let is_relevant =
            |k: DisturbanceKind| k != DisturbanceKind::Stop && k != DisturbanceKind::Reload;
        let has_expired = request.has_expired();
        let is_healthy = received.iter().all(|(n, _)| {
            let incarnation = &self.incarnations[*n];
            // A silent endpoint is no excuse, unless the silence takes all the time there is.
            let was_too_long = has_expired && incarnation.was_silent(span.0, span.1);
            !(incarnation.had_fault(span.0, span.1)
                || incarnation.had_link_fault(span.0, span.1)
                || incarnation.left_at.is_some()
                || was_too_long)
        });
        if !is_healthy || self.records.was_disturbed(request.instance, span, is_relevant) {
            return;
        }
        if self.outlasted_grace.is_some_and(|grace| self.may_be_cut(request, received, grace)) {
            return;
        }
        let stop = (request.sent - SETTLE_TIME - SAFE_STOP_WINDOW, request.sent - SAFE_STOP_WINDOW);
        if !self.records.was_disturbed(request.instance, stop, |k| k == DisturbanceKind::Stop) {
            let outcome = outcome_name(&request.outcome);
            self.add_violation(format!(
                "{} on /{}/ was lost: {outcome}",
                request.id, request.route
            ));
        }
    }

    /// Checks the limit on resends over all instances, per service.
    fn check_resends(&mut self) {
        for routes in [&["once", "read", "late"][..], &["draft", "sort"]] {
            let is_on_routes =
                |id: &str| self.requests.get(id).is_some_and(|r| routes.contains(&r.route));
            let mut resends: Vec<Instant> = Vec::new();
            for (_, received) in self.received.iter().filter(|(id, _)| is_on_routes(id)) {
                let mut times: Vec<Instant> =
                    received.iter().filter(|(_, s)| !s.is_continued()).map(|(_, s)| s.at).collect();
                times.sort();
                resends.extend(times.iter().skip(1));
            }
            let requests: Vec<Instant> = self
                .requests
                .values()
                .filter(|r| routes.contains(&r.route))
                .map(|r| r.sent)
                .collect();
            let count = |times: &[Instant], start: Instant| {
                times.iter().filter(|t| **t >= start && **t < start + RESEND_WINDOW).count()
            };
            let worst = resends.iter().map(|t| (count(&resends, *t), count(&requests, *t))).max();
            if let Some((resent, sent)) = worst
                && resent > sent / 5 + EXTRA_RESENDS
            {
                self.add_violation(format!("{resent} resends for {sent} requests on {routes:?}"));
            }
        }
    }

    /// Checks the request rate of cold engines over every second.
    fn check_cold_rates(&mut self) {
        let mut violations = Vec::new();
        for incarnation in self.incarnations {
            let Some(cold_until) = incarnation.cold_until else { continue };
            let mut times: Vec<Instant> = incarnation
                .endpoint
                .seen()
                .iter()
                .filter(|s| s.ran && !s.is_continued() && s.at < cold_until)
                .map(|s| s.at)
                .collect();
            times.sort();
            let count_second = |t: &Instant| {
                times.iter().filter(|o| **o >= *t && **o < *t + Duration::from_secs(1)).count()
            };
            // What waited during a silence arrives at once.
            let is_regular =
                |t: &&Instant| !incarnation.was_silent(**t - SILENCE_REACH, **t + SILENCE_REACH);
            let max_rate = times.iter().filter(is_regular).map(count_second).max().unwrap_or(0);
            if max_rate > MAX_COLD_RATE {
                violations.push(format!(
                    "{} got {max_rate} requests in a second while cold",
                    incarnation.endpoint.id()
                ));
            }
        }
        self.violations.append(&mut violations);
    }
}
