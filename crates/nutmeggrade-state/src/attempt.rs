//! One attempt of a client, from its arrival to its end.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteKind;

use crate::invariant;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// At no endpoint.
    Waiting,
    /// Handed to an endpoint that has not answered.
    Sent,
    /// The endpoint's answer is on its way to the client.
    Answering,
    /// Over; nothing is sent any more.
    Ended,
}

/// What may be said and done about one attempt of a client.
///
/// A client repeats a request that may not run twice only if it is told that it did not run. If that
/// is said of one that ran, or one is sent again that may have run, a plot is booked twice and
/// nobody notices before the customer does. What is known follows from each send and its end alone,
/// in this one place, so that no other code has to judge it.
#[derive(Debug, Clone)]
pub struct Attempt {
    kind: RouteKind,
    most: u32,
    sends: u32,
    run: Run,
    stage: Stage,
}

impl Attempt {
    /// Makes an attempt on a route that allows `most` endpoints.
    pub const fn new(kind: RouteKind, most: u32) -> Self {
        Self { kind, most, sends: 0, run: Run::NotRun, stage: Stage::Waiting }
    }

    /// Says whether the request may be handed to an endpoint now.
    pub fn may_send(&self) -> bool {
        self.stage == Stage::Waiting
            && self.sends < self.most
            && (self.run == Run::NotRun || self.kind.is_repeatable())
    }

    /// Notes that the request is handed to an endpoint, before its first byte goes out.
    pub fn send(&mut self) {
        invariant::check(self.may_send(), "at_most_once_is_sent_once");
        self.sends += 1;
        self.stage = Stage::Sent;
    }

    /// Notes that not a byte went out, so that the send did not count.
    pub fn not_sent(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.back();
    }

    /// Notes that the endpoint states that it did not run the request.
    pub fn refused(&mut self) {
        self.back();
    }

    /// Notes that the endpoint at this address was another one, which did not run the request. The
    /// one that was meant got nothing, so the send did not count.
    pub fn misdirected(&mut self) {
        self.not_sent();
    }

    /// Notes that the endpoint answered with a failure of its own.
    pub fn failed(&mut self) {
        self.run = Run::Ran;
        self.back();
    }

    /// Notes that the connection ended without an answer that belongs to the request, or in the middle
    /// of one that was passed on. What may go on elsewhere waits for a place again.
    pub fn lost(&mut self) {
        if self.run == Run::NotRun {
            self.run = Run::Unknown;
        }
        if self.stage == Stage::Answering {
            self.stage = Stage::Waiting;
        }
        self.back();
    }

    /// Notes that the answer is passed on.
    pub fn answer(&mut self) {
        self.run = Run::Ran;
        self.stage = Stage::Answering;
    }

    /// Notes the end, whatever it was.
    pub fn end(&mut self) {
        if self.stage == Stage::Sent && self.run == Run::NotRun {
            self.run = Run::Unknown;
        }
        self.stage = Stage::Ended;
    }

    /// Returns what is known of the request's effect; a request at an endpoint may be running.
    pub const fn run(&self) -> Run {
        match (self.stage, self.run) {
            (Stage::Sent, Run::NotRun) => Run::Unknown,
            (_, run) => run,
        }
    }

    /// Returns where the attempt stands.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns to how many endpoints the request was handed.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    fn back(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Waiting;
        }
    }
}
