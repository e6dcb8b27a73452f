//! State of one client attempt, from its arrival to its end.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteKind;

use crate::invariant;

/// Stage of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not at any endpoint.
    Waiting,
    /// Sent to an endpoint that has not responded.
    Sent,
    /// The endpoint's response is being passed on to the client.
    Responding,
    /// Ended; nothing more is sent.
    Ended,
}

/// State of one client attempt, which decides what may be sent and what the client is told.
///
/// A client repeats a request that must not run twice only if it is told that the request did not
/// run. If a request that ran is reported so, or one that may have run is sent again, its operation,
/// such as a booking, takes effect twice. The execution state is derived from each send and its
/// result in this one place, so that no other code has to decide it.
#[derive(Debug, Clone)]
pub struct Attempt {
    kind: RouteKind,
    max_sends: u32,
    sends: u32,
    run: RunStatus,
    stage: Stage,
}

impl Attempt {
    /// Creates an attempt on a route that allows sends to `max_sends` endpoints.
    pub const fn new(kind: RouteKind, max_sends: u32) -> Self {
        Self { kind, max_sends, sends: 0, run: RunStatus::NotRun, stage: Stage::Waiting }
    }

    /// Returns whether the request may be sent to an endpoint.
    pub fn may_send(&self) -> bool {
        self.stage == Stage::Waiting
            && self.sends < self.max_sends
            && (self.run == RunStatus::NotRun || self.kind.is_repeatable())
    }

    /// Returns whether the request may be sent to another endpoint while the one that has it is silent.
    pub fn may_send_again(&self) -> bool {
        self.stage == Stage::Sent && self.sends < self.max_sends && self.kind.is_repeatable()
    }

    /// Records that the request is about to be sent to an endpoint, before its first byte goes out.
    pub fn send(&mut self) {
        invariant::check(self.may_send(), "at_most_once_is_sent_once");
        self.sends += 1;
        self.stage = Stage::Sent;
    }

    /// Records that no byte was sent, so that the send does not count.
    pub fn not_sent(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.return_to_waiting();
    }

    /// Records that the endpoint states that it did not run the request.
    pub fn refused(&mut self) {
        self.return_to_waiting();
    }

    /// Records that another endpoint responded at this address and did not run the request. The
    /// intended one received nothing, so the send does not count.
    pub fn misdirected(&mut self) {
        self.not_sent();
    }

    /// Records that the endpoint responded with a failure of its own.
    pub fn failed(&mut self) {
        self.run = RunStatus::Ran;
        self.return_to_waiting();
    }

    /// Records that the connection ended without a response to the request, or in the middle of one
    /// that was being passed on. A request that may continue elsewhere waits for an endpoint again.
    pub fn lost(&mut self) {
        if self.run == RunStatus::NotRun {
            self.run = RunStatus::Unknown;
        }
        if self.stage == Stage::Responding {
            self.stage = Stage::Waiting;
        }
        self.return_to_waiting();
    }

    /// Records that the response is being passed on.
    pub fn begin_response(&mut self) {
        self.run = RunStatus::Ran;
        self.stage = Stage::Responding;
    }

    /// Records the end of the attempt, whatever its result.
    pub fn end(&mut self) {
        if self.stage == Stage::Sent && self.run == RunStatus::NotRun {
            self.run = RunStatus::Unknown;
        }
        self.stage = Stage::Ended;
    }

    /// Returns the execution state of the request; a request at an endpoint may be running.
    pub const fn run(&self) -> RunStatus {
        match (self.stage, self.run) {
            (Stage::Sent, RunStatus::NotRun) => RunStatus::Unknown,
            (_, run) => run,
        }
    }

    /// Returns the stage of the attempt.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the number of endpoints to which the request was sent.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    fn return_to_waiting(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Waiting;
        }
    }
}
