//! Decides whether a service has had one version only.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::StoredVersions;

/// The versions at which a stream may have begun of which nothing is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnlyVersion {
    /// This version, or none if the service's endpoints state none.
    Only(Option<VersionId>),
    /// One of several.
    Several,
    /// The record doesn't say.
    Unknown,
}

impl OnlyVersion {
    /// Decides from the service's record, read after the request came, and from the versions of the
    /// endpoints that this instance sees.
    ///
    /// What this instance sees is never enough: it may have started after a version left, or be out
    /// of step since before one came.
    pub fn new(recorded: Option<&StoredVersions>, seen: &BTreeSet<&VersionId>) -> Self {
        let Some(recorded) = recorded else {
            return if seen.is_empty() { Self::Only(None) } else { Self::Unknown };
        };
        let Some(record) = recorded.record.as_ref().filter(|record| !record.is_incomplete) else {
            return Self::Unknown;
        };
        let versions: BTreeSet<&VersionId> =
            record.versions.keys().chain(seen.iter().copied()).collect();
        if versions.len() > 1 {
            return Self::Several;
        }
        Self::Only(versions.first().map(|version| VersionId::clone(version)))
    }
}
