//! Calls the platform's store and accounts for each call.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::VersionsWrite;
use nutmeggrade_platform::PlatformError;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::{Listing, ObjectWrite, Snapshot, StatusWrite, WatchResult};
use nutmeggrade_wire::version_record;
use serde_json::Value;

use crate::node::Node;

/// Reason for a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReason {
    /// First listing of a kind.
    First,
    /// Fetches the changes since a first listing that lagged.
    AfterListing,
    /// Lists again because the history since the last revision is gone.
    Relist,
    /// Waits for changes.
    Watch,
    /// Catches up with a peer that has read a higher revision.
    Behind,
    /// Asks while a watch waits, as it may have missed a change.
    Recheck,
    /// Asks again as the first reader, whose watches are held for a shorter time.
    Takeover,
    /// Asks again since the response of a watch is overdue.
    Overdue,
    /// Retries after a failed call.
    Retry,
    /// Writes the state of a rollout or the versions of a service.
    Write,
    /// Reads which versions are recorded, to record others.
    Versions,
    /// Reads which versions are recorded, for streams that clients take up.
    TakeUp,
}

impl CallReason {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::AfterListing => "rest",
            Self::Relist => "relist",
            Self::Watch => "watch",
            Self::Behind => "behind",
            Self::Recheck => "recheck",
            Self::Takeover => "takeover",
            Self::Overdue => "overdue",
            Self::Retry => "retry",
            Self::Write => "write",
            Self::Versions => "versions",
            Self::TakeUp => "take_up",
        }
    }
}

/// Calls the platform's store and accounts for each call.
#[derive(Debug)]
pub struct StoreCalls<'a>(&'a Node);

impl<'a> StoreCalls<'a> {
    /// Creates a caller that records its calls in the instance's metrics.
    pub const fn new(node: &'a Node) -> Self {
        Self(node)
    }

    /// Reads the first page of a listing.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn first_page(
        &self,
        kind: Kind,
        reason: CallReason,
    ) -> Result<Listing, PlatformError> {
        let started_at = self.0.now();
        let result = self.0.store.first_page(kind).await;
        self.note(kind, reason, started_at, result.as_ref().map(|page| Some(&page.snapshot)));
        result
    }

    /// Reads the pages of a listing after the first one.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn remaining_pages(
        &self,
        kind: Kind,
        first: Listing,
        may_be_stale: bool,
        reason: CallReason,
    ) -> Result<Snapshot, PlatformError> {
        if !first.has_more {
            return Ok(first.snapshot);
        }
        let started_at = self.0.now();
        let result = self.0.store.remaining_pages(kind, first, may_be_stale).await;
        self.note(kind, reason, started_at, result.as_ref().map(Some));
        result
    }

    /// Lists all objects of a kind, as they are now.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn list(&self, kind: Kind, reason: CallReason) -> Result<Snapshot, PlatformError> {
        let first = self.first_page(kind, reason).await?;
        self.remaining_pages(kind, first, false, reason).await
    }

    /// Waits for changes of a kind since a revision, at most `wait`. `on_head` is called when the
    /// response begins.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn watch(
        &self,
        kind: Kind,
        since: u64,
        wait: Duration,
        reason: CallReason,
        on_head: impl FnOnce(),
    ) -> Result<WatchResult, PlatformError> {
        let started_at = self.0.now();
        let result = self.0.store.watch(kind, since, wait, on_head).await;
        let read = result.as_ref().map(|result| match result {
            WatchResult::Changes(snapshot) => Some(snapshot),
            WatchResult::NoHistory => None,
        });
        self.note(kind, reason, started_at, read);
        result
    }

    /// Replaces the status of an object that still has the revision.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn write_status(
        &self,
        kind: Kind,
        name: &str,
        revision: u64,
        status: &Value,
    ) -> Result<StatusWrite, PlatformError> {
        let started_at = self.0.now();
        let result = self.0.store.write_status(kind, name, revision, status).await;
        self.note(kind, CallReason::Write, started_at, result.as_ref().map(|_| None));
        result
    }

    /// Lists the records of services' versions, as they are now.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn list_versions(&self, reason: CallReason) -> Result<Snapshot, PlatformError> {
        let started_at = self.0.now();
        let result = self.0.store.list_own(version_record::KIND).await;
        self.log(version_record::KIND, reason, started_at, result.as_ref().map(Some));
        result
    }

    /// Writes the record of a service's versions on its condition.
    ///
    /// # Errors
    ///
    /// Fails if the store's client does.
    pub async fn write_versions(
        &self,
        write: &VersionsWrite,
    ) -> Result<ObjectWrite, PlatformError> {
        let started_at = self.0.now();
        let content = version_record::write(&write.record);
        let name = write.service.as_str();
        let result =
            self.0.store.write_own(version_record::KIND, name, write.revision, &content).await;
        let read = result.as_ref().map(|_| None);
        self.log(version_record::KIND, CallReason::Write, started_at, read);
        if let Ok(ObjectWrite::Written(object) | ObjectWrite::Conflict(Some(object))) = &result {
            self.0.read_state.note_changes([object.revision]);
        }
        result
    }

    /// Accounts for a call. `read` is what it returned, if that is a part of a listing or changes.
    fn note(
        &self,
        kind: Kind,
        reason: CallReason,
        started_at: Moment,
        read: Result<Option<&Snapshot>, &PlatformError>,
    ) {
        if read.is_ok() {
            self.0.read_state.of(kind).note_answer(self.0.now());
        }
        if let Ok(Some(read)) = read {
            for object in &read.unreadable {
                let error = anyhow::anyhow!("can't decode: {}", object.part.name());
                self.0.report_unreadable(kind, object, &error);
            }
        }
        self.log(kind.name(), reason, started_at, read);
    }

    fn log(
        &self,
        kind: &str,
        reason: CallReason,
        started_at: Moment,
        read: Result<Option<&Snapshot>, &PlatformError>,
    ) {
        let reason = reason.name();
        let metrics = &self.0.metrics;
        metrics.store_call_reasons.with_label_values(&[kind, reason]).inc();
        let ms = self.0.now().since(started_at).as_millis();
        match read {
            Ok(Some(read)) => {
                let unnamed = read.unreadable.iter().map(|u| u.revision);
                let changes = read.objects.iter().map(|o| o.revision).chain(unnamed);
                self.0.read_state.note_changes(changes);
                metrics.store_bytes.with_label_values(&[kind]).inc_by(read.bytes);
                tracing::info!(
                    event = "store_call",
                    kind,
                    reason,
                    objects = read.objects.len(),
                    revision = read.revision,
                    bytes = read.bytes,
                    ms
                );
            }
            Ok(None) => tracing::info!(event = "store_call", kind, reason, read = "nothing", ms),
            Err(error) => {
                tracing::info!(event = "store_call", kind, reason, error = %error, ms);
            }
        }
    }
}
