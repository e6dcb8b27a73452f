use super::VersionRecord;
use crate::id::ServiceId;

/// A write of the record of a service, on a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionsWrite {
    /// The service.
    pub service: ServiceId,
    /// Revision that the stored record must have; without one, there must be none.
    pub revision: Option<u64>,
    /// The new record.
    pub record: VersionRecord,
}
