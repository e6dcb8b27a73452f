//! Letting requests wait, go or return.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::Scheduler;
use crate::wait::WaitEstimate;
use crate::{Ask, Ticket, Verdict};

/// Wait that a refused caller is told while nothing better is known.
const COME_BACK: Duration = Duration::from_secs(2);
/// Bounds of that wait: shorter is one wave, longer holds callers off after the load has gone.
const LONGEST_BACK: Duration = Duration::from_secs(30);
/// Chance of a whole answer under which a request isn't let in.
const HOPELESS: f64 = 0.05;
/// Between two looks for requests that can't finish any more.
const LOOK: Duration = Duration::from_millis(250);
/// Workspaces tried in a lane before it rests till the next look.
const TRIES: usize = 3;
/// Most requests let go at one look; bounds the time under the scheduler's lock.
const MOST: usize = 64;

impl Scheduler {
    /// Decides about a new request, or one that failed elsewhere before its first token.
    pub fn ask(&mut self, ask: &Ask, now: Moment) -> Verdict {
        if ask.deadline <= now || self.is_hopeless(ask, now) {
            return self.refuse(Code::TooLate, COME_BACK);
        }
        if !self.offers(ask) {
            return self.refuse(Code::NoEndpoint, COME_BACK);
        }
        if self.queue.lane(ask.long).is_empty()
            && let Some(verdict) = self.place(ask, now)
        {
            return verdict;
        }
        let wait = self.wait(ask);
        if !self.queue.has_room(&ask.workspace, self.queue_limit) {
            return self.refuse(Code::QueueFull, back(wait));
        }
        if let Some(wait) = wait
            && !WaitEstimate::in_time(wait, self.service(ask), ask.deadline.since(now))
        {
            return self.refuse(Code::TooLate, back(Some(wait)));
        }
        self.queue.lane_mut(ask.long).push(ask);
        Verdict::Wait
    }

    /// Decides about those that wait; returns each whose wait ended.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)> {
        let mut ended = Vec::new();
        self.expire(now, &mut ended);
        let mut released = [0, 0];
        let mut open = [true, true];
        // Turn about, so that neither kind keeps the other out.
        while (open[0] || open[1]) && ended.len() < MOST {
            for long in [false, true] {
                let lane = usize::from(long);
                if !open[lane] {
                    continue;
                }
                match self.next(long, now) {
                    Some(done) => {
                        ended.push(done);
                        released[lane] += 1;
                    }
                    None => open[lane] = false,
                }
            }
        }
        for long in [false, true] {
            let lane = usize::from(long);
            let waits = !self.queue.lane(long).is_empty();
            if waits || released[lane] > 0 {
                self.waits[lane].released(released[lane], now);
            } else {
                self.waits[lane].idle(now);
            }
        }
        ended
    }

    fn next(&mut self, long: bool, now: Moment) -> Option<(Ticket, Verdict)> {
        let heads: Vec<_> = self.queue.lane(long).heads().take(TRIES).cloned().collect();
        for ask in heads {
            let Some(verdict) = self.place(&ask, now) else { continue };
            let tokens = self.lengths.remaining(&ask.workspace, &ask.task, 0, ask.max_tokens);
            self.queue.lane_mut(long).take(ask.ticket, ask.prompt as f64 + tokens);
            return Some((ask.ticket, verdict));
        }
        None
    }

    fn expire(&mut self, now: Moment, ended: &mut Vec<(Ticket, Verdict)>) {
        let look = now.since(self.looked) >= LOOK;
        if look {
            self.looked = now;
        }
        for long in [false, true] {
            let late = |a: &Ask| a.deadline <= now || (look && self.is_hopeless(a, now));
            let lost = |a: &Ask| look && !self.offers(a);
            let queued = self.queue.lane(long);
            let over = queued.expired(late).into_iter().map(|t| (t, Code::TooLate));
            let gone = queued.expired(lost).into_iter().map(|t| (t, Code::NoEndpoint));
            for (ticket, code) in over.chain(gone).collect::<Vec<_>>() {
                if self.queue.remove(ticket).is_some() {
                    let verdict = self.refuse(code, COME_BACK);
                    ended.push((ticket, verdict));
                }
            }
        }
    }

    /// Says whether an answer has next to no chance to be whole in time, even if it starts now.
    fn is_hopeless(&self, ask: &Ask, now: Moment) -> bool {
        let left = ask.deadline.since(now).as_secs_f64();
        let steps = left / self.gap.as_secs_f64().max(1e-4);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive count; the cast saturates"
        )]
        let tokens = steps as u64;
        if tokens >= ask.max_tokens {
            return false;
        }
        let Ask { workspace, task, max_tokens, .. } = ask;
        let [on] = self.lengths.survival(workspace, task, 0, *max_tokens, &[tokens]);
        1.0 - on < HOPELESS
    }

    fn offers(&self, ask: &Ask) -> bool {
        self.router.offers(&ask.model, &ask.avoid)
    }

    fn wait(&self, ask: &Ask) -> Option<Duration> {
        let ahead = self.queue.lane(ask.long).ahead(&ask.workspace);
        self.waits[usize::from(ask.long)].wait(ahead + 1)
    }
}

fn back(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(COME_BACK).clamp(COME_BACK / 2, LONGEST_BACK)
}
