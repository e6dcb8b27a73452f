//! Answers that endpoints are sending.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::peer::RequestSuspects;
use nutmeggrade_core::prelude::*;

/// An answer that an endpoint is sending.
#[derive(Debug, Clone)]
pub struct RunningAnswer {
    /// All that its request has that may crash endpoints.
    pub suspects: Arc<RequestSuspects>,
    begun: Moment,
    /// When the endpoint last sent something.
    pub last_sign: Moment,
}

impl RunningAnswer {
    /// Returns how long the endpoint is known to have lived since it began the answer.
    pub fn lived(&self) -> Duration {
        self.last_sign.since(self.begun)
    }
}

/// Answers that endpoints are sending to this instance, by the number of their reservation.
///
/// An endpoint that goes on with an answer shows that the answer's request doesn't crash it, long
/// before a generation of many seconds is complete.
#[derive(Debug, Default)]
pub struct RunningAnswers {
    answers: BTreeMap<u64, RunningAnswer>,
}

impl RunningAnswers {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self { answers: BTreeMap::new() }
    }

    /// Records that an endpoint began an answer.
    pub fn begin(&mut self, number: u64, suspects: Arc<RequestSuspects>, now: Moment) {
        let answer = RunningAnswer { suspects, begun: now, last_sign: now };
        self.answers.insert(number, answer);
    }

    /// Records that the endpoint sent a part of the answer.
    pub fn progress(&mut self, number: u64, now: Moment) {
        if let Some(answer) = self.answers.get_mut(&number) {
            answer.last_sign = now;
        }
    }

    /// Returns how long ago an answer began; zero if it is not known.
    pub fn age(&self, number: u64, now: Moment) -> Duration {
        self.answers.get(&number).map_or(Duration::ZERO, |answer| now.since(answer.begun))
    }

    /// Removes an answer that has ended.
    pub fn end(&mut self, number: u64) {
        self.answers.remove(&number);
    }

    /// Returns the answers.
    pub fn iter(&self) -> impl Iterator<Item = &RunningAnswer> {
        self.answers.values()
    }
}
