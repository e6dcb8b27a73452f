use super::VersionRecord;
use crate::id::ServiceId;

/// The record of a service as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredVersions {
    /// The service.
    pub service: ServiceId,
    /// Revision of the store at the record's last change.
    pub revision: u64,
    /// The record; `None` if it can't be read.
    pub record: Option<VersionRecord>,
}
