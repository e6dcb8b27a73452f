//! Checks that an endpoint got no more requests than its rate limit allows.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::endpoint::Endpoint;
use super::notices::NOTICE_TIME;

/// Time after an endpoint first stated a limit from which on the limit is checked.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the limit may be exceeded.
const OVERRUN: f64 = 1.5;
/// Requests that a window may have beyond that.
const TOLERANCE: f64 = 5.0;

/// A period in which an endpoint stated a limit all the while.
struct Period {
    end: Option<Instant>,
    limits: Vec<(Instant, f64)>,
}

impl Period {
    fn start(&self) -> Instant {
        self.limits[0].0
    }

    fn contains(&self, at: Instant) -> bool {
        at >= self.start() && self.end.is_none_or(|end| at < end)
    }

    /// Returns the requests that the limits allow in the window that ends at `end`. A lowered limit
    /// counts once instances had time to notice it.
    fn allowed(&self, end: Instant) -> f64 {
        let start = end - WINDOW;
        let mut requests = 0.0;
        for (n, (from, limit)) in self.limits.iter().enumerate() {
            let until = self.limits.get(n + 1).map_or(end, |(next, lower)| {
                if lower < limit { (*next + NOTICE_TIME).min(end) } else { (*next).min(end) }
            });
            // What was stated first also holds for the part of the window before it.
            let from = if n == 0 { start } else { (*from).max(start) };
            requests += limit * until.saturating_duration_since(from).as_secs_f64();
        }
        requests * OVERRUN + TOLERANCE
    }
}

/// Checks an endpoint's rate limit over all instances; describes the first violation.
///
/// `instance_of` returns the instance that a client sent a request to, and `is_excused` whether that
/// instance was restarted, frozen or cut off in a period.
pub fn find_limit_violation(
    endpoint: &Endpoint,
    instance_of: impl Fn(&str) -> Option<usize>,
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> Option<String> {
    let notices = endpoint.notices().clone();
    let received = endpoint.seen();
    let periods = periods(notices.limit_changes());
    let checked_from = periods.first()?.start() + CONTACT_TIME;
    for period in &periods {
        let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
        for response in notices.responses().iter().filter(|r| period.contains(r.at)) {
            if let Some(instance) = instance_of(&response.id).filter(|_| response.limit.is_some()) {
                told.entry(instance).or_insert(response.at);
            }
        }
        let counts = |id: &str, at: Instant| {
            let Some(instance) = instance_of(id) else { return true };
            told.get(&instance).is_some_and(|t| *t + NOTICE_TIME <= at)
                && !is_excused(instance, at - WINDOW, at)
        };
        let requests = received.iter().filter(|r| counts(r.id(), r.at)).map(|r| r.at);
        let mut arrivals: Vec<Instant> = requests
            .chain(notices.status_checks().iter().copied())
            .filter(|at| period.contains(*at))
            .collect();
        arrivals.sort();
        for end in arrivals.iter().filter(|at| **at >= checked_from) {
            let count = arrivals.iter().filter(|at| **at > *end - WINDOW && *at <= end).count();
            let allowed = period.allowed(*end);
            if count as f64 > allowed {
                return Some(format!(
                    "{} got {count} requests in {WINDOW:?} from instances that knew its limit, allowed {allowed:.1}",
                    endpoint.id()
                ));
            }
        }
    }
    None
}

/// Splits the changes of a limit into the periods in which one was stated.
fn periods(changes: &[(Instant, Option<f64>)]) -> Vec<Period> {
    let mut periods: Vec<Period> = Vec::new();
    for (at, limit) in changes {
        let open = periods.last_mut().filter(|p| p.end.is_none());
        match (open, limit) {
            (Some(period), Some(limit)) => period.limits.push((*at, *limit)),
            (Some(period), None) => period.end = Some(*at),
            (None, Some(limit)) => periods.push(Period { end: None, limits: vec![(*at, *limit)] }),
            (None, None) => {}
        }
    }
    periods
}
