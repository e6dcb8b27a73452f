//! Completes, continues or breaks off a stream when the bytes of a run end.

use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_state::body_end::{self, BytesEnd, Completeness};

use super::EventStream;
use super::run_end::RunEnd;
use crate::reach::{self, Reach};
use crate::relay::crash::{self, Loss};
use crate::relay::migration::MigrationOutcome;
use crate::relay::resume;
use crate::relay::transfer_end::TransferEnd;
use crate::tables::lock;

impl EventStream {
    /// Records that the bytes of the run ended, with an error if its connection broke.
    pub(super) fn note_run_end(&mut self, error: Option<hyper::Error>) {
        self.upstream = None;
        let bytes_end = if error.is_none() { BytesEnd::Closed } else { BytesEnd::Broken };
        self.run_end = RunEnd {
            completeness: body_end::judge(self.framing, bytes_end, self.splitter.place()),
            error,
            partial_bytes: self.splitter.partial_bytes(),
        };
    }

    /// Completes the stream, or continues it at another endpoint if its run broke off. Returns the
    /// end of the stream, or `None` if it continues.
    pub(super) async fn end_run(&mut self) -> Option<TransferEnd> {
        if self.run_end.completeness == Completeness::Undeclared && !self.may_be_stopped {
            let is_gone = crash::refuses_connections(&self.node, &self.reservation.endpoint).await;
            self.run_end.completeness = body_end::judge_undeclared(is_gone);
        }
        if self.run_end.completeness != Completeness::Complete {
            let reason = self.run_end.reason();
            return self.recover(&reason).await;
        }
        let (clock, deadline) = (self.node.clock, self.request.deadline);
        tokio::select! {
            end = self.finish() => Some(end),
            () = clock.until(deadline) => Some(TransferEnd::DeadlinePassed),
        }
    }

    async fn finish(&mut self) -> TransferEnd {
        if let Some(rest) = self.splitter.take_rest()
            && self.sender.send(rest).await.is_err()
        {
            return TransferEnd::ClientGone;
        }
        self.sender.finish().await;
        TransferEnd::Completed
    }

    /// Resumes the stream after a migration ended. Returns the end of the stream, or `None` if it
    /// continues.
    pub(super) async fn finish_migration(
        &mut self,
        outcome: MigrationOutcome,
    ) -> Option<TransferEnd> {
        match outcome {
            MigrationOutcome::Unanswered if self.upstream.is_some() => {
                self.may_be_stopped = true;
                None
            }
            MigrationOutcome::NotMigrated | MigrationOutcome::Ended if self.upstream.is_some() => {
                None
            }
            MigrationOutcome::Ended => self.end_run().await,
            MigrationOutcome::NotMigrated | MigrationOutcome::Unanswered => {
                let reason = self.run_end.reason();
                self.recover(&reason).await
            }
            MigrationOutcome::Migrated(generation) => {
                self.upstream = None;
                if self.splitter.can_continue() {
                    self.splitter.cut();
                    if let Some((upstream, reservation)) =
                        resume::resume_copy(self, *generation).await
                    {
                        self.switch_upstream(upstream, reservation);
                        return None;
                    }
                }
                self.recover("moved and not resumed").await
            }
        }
    }

    /// Runs the request again after its endpoint broke the stream off, if its route allows that.
    /// Returns the end of the stream, or `None` if it continues.
    async fn recover(&mut self, reason: &str) -> Option<TransferEnd> {
        let endpoint = self.reservation.endpoint.clone();
        tracing::info!(event = "stream_broke", request = %self.request.id,
            endpoint = %endpoint.id, version = endpoint.version_name(),
            events = self.splitter.passed(),
            framing = self.framing.as_str(), partial = self.run_end.partial_bytes, why = reason);
        self.attempt.lost();
        let reach = reach::check(&self.node, &endpoint).await;
        if reach == Reach::Reached {
            self.node.update_health(&endpoint.id, Health::record_loss);
        }
        let (number, now) = (self.reservation.ticket.0, self.node.now());
        let alive = lock(&self.node.tables).running.age(number, now);
        let loss = Loss { endpoint: &endpoint, reach, alive };
        crash::examine(&self.node, &self.request, loss).await;
        if !self.splitter.can_continue() {
            return Some(TransferEnd::UpstreamBroken);
        }
        self.splitter.cut();
        let Some((upstream, reservation)) = resume::run_again(self).await else {
            return Some(TransferEnd::UpstreamBroken);
        };
        self.switch_upstream(upstream, reservation);
        None
    }
}
