//! The audit trail, merged from the platform or several instances.

use std::collections::BTreeMap;

use nutmeggrade_core::audit::AuditEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::recent_changes::AcceptedChange;

/// Sort key of a row: version in force, changes before entries, time, instance, incarnation,
/// number.
type RowKey = (u64, bool, u64, Option<InstanceId>, u64, u64);

/// One row of the trail.
#[derive(Debug)]
pub enum Row {
    /// An accepted change.
    Change(AcceptedChange),
    /// An action or a refusal of an instance.
    Entry(AuditEntry),
}

/// Changes in version order, each followed by the audit entries of instances that had it in force.
///
/// The instances' wall clocks differ, so an order by time could put a refusal before the change
/// that caused it. Rows are therefore ordered by version first and by time within a version.
#[derive(Debug, Default)]
pub struct AuditTrail {
    rows: BTreeMap<RowKey, Row>,
}

impl AuditTrail {
    /// Creates an empty trail.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an accepted change; duplicates from several sources are merged.
    pub fn add_change(&mut self, change: AcceptedChange) {
        let row_key = (change.version, false, 0, None, 0, 0);
        self.rows.insert(row_key, Row::Change(change));
    }

    /// Adds an entry; duplicates from several sources are merged.
    pub fn add_entry(&mut self, entry: AuditEntry) {
        let instance = Some(entry.instance.clone());
        let row_key = (entry.config, true, entry.at_ms, instance, entry.incarnation, entry.number);
        self.rows.insert(row_key, Row::Entry(entry));
    }

    /// Returns the rows in order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
