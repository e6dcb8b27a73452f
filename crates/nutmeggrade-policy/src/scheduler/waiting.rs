//! Admission of new requests and release of waiting ones.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::Scheduler;
use crate::wait_estimate::WaitEstimate;
use crate::{GenerationRequest, Ticket, Verdict};

/// Retry delay for a refused request while no wait estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Longest retry delay; a longer one keeps clients away after the load has gone. The shortest is
/// half of [`DEFAULT_RETRY_AFTER`]; with a shorter one all would return in one wave.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Least probability of a complete response before the deadline for which a request is admitted.
const MIN_COMPLETION_PROBABILITY: f64 = 0.05;
/// Interval of the search for waiting requests that can no longer finish in time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Workspaces tried in a lane before the lane is skipped for the rest of the release.
const MAX_WORKSPACES_TRIED: usize = 3;
/// Most requests released per call; bounds the time under the scheduler's lock.
const MAX_RELEASED: usize = 64;

impl Scheduler {
    /// Decides about a new request, or one that failed elsewhere before its first token.
    pub fn admit(&mut self, request: &GenerationRequest, now: Moment) -> Verdict {
        if request.deadline <= now || self.is_unlikely_to_finish(request, now) {
            return self.refuse(Code::TooLate, DEFAULT_RETRY_AFTER);
        }
        if !self.has_usable_engine(request) {
            return self.refuse(Code::NoEndpoint, DEFAULT_RETRY_AFTER);
        }
        if self.queue.lane(request.is_long).is_empty()
            && let Some(verdict) = self.place(request, now)
        {
            return verdict;
        }
        let wait = self.estimate_wait(request);
        if !self.queue.has_room(&request.workspace, self.queue_limit) {
            return self.refuse(Code::QueueFull, retry_after(wait));
        }
        if let Some(wait) = wait
            && !WaitEstimate::in_time(
                wait,
                self.expected_duration(request),
                request.deadline.since(now),
            )
        {
            return self.refuse(Code::TooLate, retry_after(Some(wait)));
        }
        self.queue.lane_mut(request.is_long).push(request);
        Verdict::Wait
    }

    /// Releases or refuses waiting requests; returns each whose wait ended.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)> {
        let mut ended = Vec::new();
        self.expire(now, &mut ended);
        let mut released = [0, 0];
        let mut may_release = [true, true];
        // Alternates between lanes so that neither starves the other.
        while (may_release[0] || may_release[1]) && ended.len() < MAX_RELEASED {
            for is_long in [false, true] {
                let index = usize::from(is_long);
                if !may_release[index] {
                    continue;
                }
                match self.release_next(is_long, now) {
                    Some(result) => {
                        ended.push(result);
                        released[index] += 1;
                    }
                    None => may_release[index] = false,
                }
            }
        }
        for is_long in [false, true] {
            let index = usize::from(is_long);
            let is_waiting = !self.queue.lane(is_long).is_empty();
            if is_waiting || released[index] > 0 {
                self.wait_estimates[index].released(released[index], now);
            } else {
                self.wait_estimates[index].idle(now);
            }
        }
        ended
    }

    fn release_next(&mut self, is_long: bool, now: Moment) -> Option<(Ticket, Verdict)> {
        let heads: Vec<_> =
            self.queue.lane(is_long).heads().take(MAX_WORKSPACES_TRIED).cloned().collect();
        for request in heads {
            let Some(verdict) = self.place(&request, now) else { continue };
            let tokens =
                self.lengths.remaining(&request.workspace, &request.task, 0, request.max_tokens);
            self.queue.lane_mut(is_long).take(request.ticket, request.prompt as f64 + tokens);
            return Some((request.ticket, verdict));
        }
        None
    }

    fn expire(&mut self, now: Moment, ended: &mut Vec<(Ticket, Verdict)>) {
        let is_sweep = now.since(self.last_sweep) >= SWEEP_INTERVAL;
        if is_sweep {
            self.last_sweep = now;
        }
        for is_long in [false, true] {
            let is_late = |request: &GenerationRequest| {
                request.deadline <= now || (is_sweep && self.is_unlikely_to_finish(request, now))
            };
            let has_no_engine =
                |request: &GenerationRequest| is_sweep && !self.has_usable_engine(request);
            let lane = self.queue.lane(is_long);
            let expired = lane.expired(is_late).into_iter().map(|t| (t, Code::TooLate));
            let unserved = lane.expired(has_no_engine).into_iter().map(|t| (t, Code::NoEndpoint));
            for (ticket, code) in expired.chain(unserved).collect::<Vec<_>>() {
                if self.queue.remove(ticket).is_some() {
                    let verdict = self.refuse(code, DEFAULT_RETRY_AFTER);
                    ended.push((ticket, verdict));
                }
            }
        }
    }

    /// Returns whether a response is unlikely to complete in time even if it starts immediately.
    fn is_unlikely_to_finish(&self, request: &GenerationRequest, now: Moment) -> bool {
        let seconds_left = request.deadline.since(now).as_secs_f64();
        let steps = seconds_left / self.mean_gap.as_secs_f64().max(1e-4);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive count; the cast saturates"
        )]
        let tokens = steps as u64;
        if tokens >= request.max_tokens {
            return false;
        }
        let GenerationRequest { workspace, task, max_tokens, .. } = request;
        let [survival] = self.lengths.survival(workspace, task, 0, *max_tokens, &[tokens]);
        1.0 - survival < MIN_COMPLETION_PROBABILITY
    }

    fn has_usable_engine(&self, request: &GenerationRequest) -> bool {
        self.router.offers(&request.model, &request.avoid)
    }

    fn estimate_wait(&self, request: &GenerationRequest) -> Option<Duration> {
        let ahead = self.queue.lane(request.is_long).ahead(&request.workspace);
        self.wait_estimates[usize::from(request.is_long)].wait(ahead + 1)
    }
}

fn retry_after(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(DEFAULT_RETRY_AFTER).clamp(DEFAULT_RETRY_AFTER / 2, MAX_RETRY_AFTER)
}
