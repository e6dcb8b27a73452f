//! Failures that end a request.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::RequestHandler;
use crate::relay::shutdown;

/// `Retry-After` of a request that did not run: the time of a few engine steps.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(300);

impl RequestHandler {
    /// Builds the final failure. A request that did not run always gets `NoRoom` and a retry delay;
    /// one that may have run never does.
    pub fn failure(&self, code: Code, detail: &str) -> Failure {
        let run = self.attempt.run();
        if run == RunStatus::NotRun {
            return Failure::new(Code::NoRoom, detail).with_retry_after(NOT_RUN_RETRY_DELAY);
        }
        let code = if code == Code::NoRoom { Code::OutcomeUnknown } else { code };
        Failure::new(code, detail).with_run(run)
    }

    /// Ends the attempt and returns the failure for a request whose deadline passed.
    pub(super) fn deadline_failure(&mut self) -> Failure {
        self.attempt.end();
        if self.attempt.run() == RunStatus::NotRun {
            return Failure::new(Code::TooLate, "the time passed before an endpoint had room")
                .with_retry_after(NOT_RUN_RETRY_DELAY);
        }
        Failure::new(Code::DeadlinePassed, "the time passed").with_run(self.attempt.run())
    }

    /// Ends the attempt and returns the failure for a request that has no response as the process ends.
    pub(super) fn end_failure(&mut self) -> Failure {
        self.attempt.end();
        match self.attempt.run() {
            RunStatus::NotRun => shutdown::refusal(&self.node),
            run => Failure::new(Code::OutcomeUnknown, "this instance ends").with_run(run),
        }
    }
}
