//! Record of the versions at which streams of a service may have begun.

mod state;
mod stored;
mod write;

use std::collections::{BTreeMap, BTreeSet};

pub use state::VersionState;
pub use stored::StoredVersions;
pub use write::VersionsWrite;

use crate::id::{ServiceId, VersionId};

/// Versions of services.
pub type ServiceVersions = BTreeMap<ServiceId, BTreeSet<VersionId>>;

/// Versions at which streams of a service may have begun that clients take up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The versions.
    pub versions: BTreeMap<VersionId, VersionState>,
    /// Whether there may have been further versions, since an earlier record could not be read.
    pub is_incomplete: bool,
}
