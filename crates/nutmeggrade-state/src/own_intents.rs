//! Unsettled attempts of this instance.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;

use crate::intent::{Owner, Progress};
use crate::invariant;

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Claiming,
    Claimed,
    Sending,
    Ended(Progress),
}

/// Attempts of this instance whose records in the platform do not yet contain their outcome.
///
/// A "started" record of a live instance would otherwise stay in progress for ever: after a claim
/// whose write took effect late, or while an outage keeps the outcome from being written. The
/// instance has the true state in memory for as long as it runs.
#[derive(Debug, Default)]
pub struct OwnIntents {
    attempts: BTreeMap<GenerationId, State>,
}

impl OwnIntents {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers an attempt before its first write.
    pub fn begin(&mut self, nonce: GenerationId) {
        self.attempts.insert(nonce, State::Claiming);
    }

    /// Records that the attempt owns the record.
    pub fn claimed(&mut self, nonce: GenerationId) {
        let previous = self.attempts.insert(nonce, State::Claimed);
        invariant::check(previous == Some(State::Claiming), "claim_of_open_attempt");
    }

    /// Records that the call is about to be sent. Only the owner of the record may send, and only
    /// while no part of the call can have run.
    pub fn sending(&mut self, nonce: GenerationId) {
        let previous = self.attempts.insert(nonce, State::Sending);
        invariant::check(previous == Some(State::Claimed), "call_sent_once_by_owner");
    }

    /// Records that the last send is proved not to have run.
    pub fn not_run(&mut self, nonce: GenerationId) {
        self.attempts.insert(nonce, State::Claimed);
    }

    /// Records the outcome of the attempt, which never sends again.
    pub fn end(&mut self, nonce: GenerationId, progress: Progress) {
        let was_sending = self.attempts.get(&nonce) == Some(&State::Sending);
        let is_allowed = progress != Progress::Released || !was_sending;
        invariant::check(is_allowed, "released_only_if_not_run");
        self.attempts.insert(nonce, State::Ended(progress));
    }

    /// Removes an attempt whose record contains its outcome, or that never sends.
    pub fn settle(&mut self, nonce: GenerationId) {
        self.attempts.remove(&nonce);
    }

    /// Returns the state of the attempt behind a record of this incarnation.
    pub fn owner(&self, nonce: GenerationId) -> Owner {
        match self.attempts.get(&nonce) {
            None => Owner::NeverSent,
            Some(State::Ended(progress)) => Owner::Ended(progress.clone()),
            Some(_) => Owner::Busy,
        }
    }

    /// Returns the number of unsettled attempts.
    pub fn open_count(&self) -> usize {
        self.attempts.len()
    }
}
