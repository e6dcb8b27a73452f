//! Upkeep of the records of services' versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::{
    ServiceVersions, StoredVersions, VersionRecord, VersionState, VersionsWrite,
};

use crate::stream_table::STREAM_RETENTION;

/// Time without an endpoint of a version after which it is recorded as retiring. A version whose
/// endpoints restart keeps its record without a write.
const RETIRE_DELAY: Duration = Duration::from_secs(10);

/// A stored record and what this instance has observed since it has known this revision.
#[derive(Debug)]
struct Tracked {
    stored: StoredVersions,
    /// Since when each version has had no endpoint; `None` stands for versions that an unreadable
    /// record may have named.
    absences: BTreeMap<Option<VersionId>, Moment>,
}

/// Decides which writes keep the records of services' versions up to date.
///
/// A client may take up a stream after all instances that knew where it began are lost. Only the
/// store then knows which versions there were. So a version is recorded before requests are sent to
/// its endpoints, and removed only after this instance has seen none for the time in which clients
/// take up streams.
///
/// A version is removed in two steps, each on the condition that the record is unchanged. An
/// instance that sees a version come back reads the record after the endpoint's entry, and makes the
/// version serving if it is retiring; the removal then fails. If it read the record before it was
/// retiring, the entry is among the endpoints that this instance reads afterwards, and whose absence
/// counts only from there.
#[derive(Debug, Default)]
pub struct VersionKeeper {
    records: Option<BTreeMap<ServiceId, Tracked>>,
}

impl VersionKeeper {
    /// Creates a keeper that knows no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the records are known.
    pub const fn is_loaded(&self) -> bool {
        self.records.is_some()
    }

    /// Forgets the records and what was observed, as changes may have been missed.
    pub fn forget(&mut self) {
        self.records = None;
    }

    /// Replaces the records with a complete listing.
    pub fn replace(&mut self, all: Vec<StoredVersions>) {
        let mut old = self.records.take().unwrap_or_default();
        let tracked = |stored: StoredVersions| {
            let known = old.remove(&stored.service);
            let absences = known.filter(|k| k.stored == stored).map(|k| k.absences);
            let absences = absences.unwrap_or_default();
            (stored.service.clone(), Tracked { stored, absences })
        };
        self.records = Some(all.into_iter().map(tracked).collect());
    }

    /// Replaces one record after a write or a conflict.
    pub fn put(&mut self, stored: StoredVersions) {
        if let Some(records) = &mut self.records {
            let tracked = Tracked { stored, absences: BTreeMap::new() };
            records.insert(tracked.stored.service.clone(), tracked);
        }
    }

    /// Returns the writes that record all `live` versions as serving. A record that can't be read is
    /// replaced by an incomplete one.
    pub fn additions(&self, live: &ServiceVersions) -> Vec<VersionsWrite> {
        let Some(records) = &self.records else { return Vec::new() };
        let write = |(service, versions): (&ServiceId, &BTreeSet<VersionId>)| {
            let stored = records.get(service).map(|tracked| &tracked.stored);
            let old = stored.map(|stored| stored.record.as_ref());
            let incomplete = VersionRecord { is_incomplete: true, ..VersionRecord::default() };
            let mut record = match old {
                Some(Some(record)) => record.clone(),
                Some(None) => incomplete,
                None => VersionRecord::default(),
            };
            let serving = |version: &VersionId| (version.clone(), VersionState::Serving);
            record.versions.extend(versions.iter().map(serving));
            let is_changed = old != Some(Some(&record));
            let revision = stored.map(|stored| stored.revision);
            is_changed.then(|| VersionsWrite { service: service.clone(), revision, record })
        };
        live.iter().filter_map(write).collect()
    }

    /// Returns the writes that retire and remove versions without endpoints. `live` are the versions
    /// of all endpoints that were read up to the revision `read`.
    pub fn retirements(
        &mut self,
        live: &ServiceVersions,
        read: u64,
        now: Moment,
    ) -> Vec<VersionsWrite> {
        let records = self.records.iter_mut().flat_map(BTreeMap::values_mut);
        records.filter_map(|tracked| tracked.retire(live, read, now)).collect()
    }
}

impl Tracked {
    fn retire(&mut self, live: &ServiceVersions, read: u64, now: Moment) -> Option<VersionsWrite> {
        let Self { stored, absences } = self;
        let record = stored.record.as_ref()?;
        let live = live.get(&stored.service);
        let is_live = |version: &VersionId| live.is_some_and(|live| live.contains(version));
        absences.retain(|version, _| !version.as_ref().is_some_and(is_live));
        if read < stored.revision {
            return None;
        }
        let mut absence = |version: Option<&VersionId>| {
            now.since(*absences.entry(version.cloned()).or_insert(now))
        };
        let mut next = record.clone();
        for (version, state) in record.versions.iter().filter(|(version, _)| !is_live(version)) {
            let time = absence(Some(version));
            match state {
                VersionState::Serving if time >= RETIRE_DELAY => {
                    next.versions.insert(version.clone(), VersionState::Retiring);
                }
                VersionState::Retiring if time >= STREAM_RETENTION => {
                    next.versions.remove(version);
                }
                VersionState::Serving | VersionState::Retiring => {}
            }
        }
        if record.is_incomplete && absence(None) >= STREAM_RETENTION {
            next.is_incomplete = false;
        }
        let (service, revision) = (stored.service.clone(), Some(stored.revision));
        (next != *record).then_some(VersionsWrite { service, revision, record: next })
    }
}
