//! The attempts of this instance whose records are not settled.

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

/// The attempts of this instance whose records in the platform do not yet say how they ended.
///
/// A record that says "started" under a live instance would otherwise be in progress for ever: after
/// a claim whose write took effect late, or while an outage keeps the outcome out of the platform.
/// The instance itself knows better, for as long as it lives.
#[derive(Debug, Default)]
pub struct OwnIntents {
    attempts: BTreeMap<GenerationId, State>,
}

impl OwnIntents {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an attempt before its first write.
    pub fn begin(&mut self, nonce: GenerationId) {
        self.attempts.insert(nonce, State::Claiming);
    }

    /// Notes that the record is the attempt's.
    pub fn claimed(&mut self, nonce: GenerationId) {
        let old = self.attempts.insert(nonce, State::Claimed);
        invariant::check(old == Some(State::Claiming), "claim_of_open_attempt");
    }

    /// Notes that the call is handed over now; only the owner of a record may do that, and only
    /// while no byte of it can have run.
    pub fn sending(&mut self, nonce: GenerationId) {
        let old = self.attempts.insert(nonce, State::Sending);
        invariant::check(old == Some(State::Claimed), "call_sent_once_by_owner");
    }

    /// Notes that the last hand-over is proved not to have run.
    pub fn not_run(&mut self, nonce: GenerationId) {
        self.attempts.insert(nonce, State::Claimed);
    }

    /// Notes how the attempt ended; it never sends again.
    pub fn end(&mut self, nonce: GenerationId, progress: Progress) {
        let sending = self.attempts.get(&nonce) == Some(&State::Sending);
        let quiet = progress != Progress::Released || !sending;
        invariant::check(quiet, "released_only_if_not_run");
        self.attempts.insert(nonce, State::Ended(progress));
    }

    /// Forgets an attempt whose record says how it ended, or that never sends.
    pub fn settle(&mut self, nonce: GenerationId) {
        self.attempts.remove(&nonce);
    }

    /// Tells what is known of the attempt behind a record of this instance's present life.
    pub fn owner(&self, nonce: GenerationId) -> Owner {
        match self.attempts.get(&nonce) {
            None => Owner::Never,
            Some(State::Ended(progress)) => Owner::Ended(progress.clone()),
            Some(_) => Owner::Busy,
        }
    }

    /// Returns how many are not settled.
    pub fn open(&self) -> usize {
        self.attempts.len()
    }
}
