//! The audit trail put together from its sources.

use std::collections::BTreeMap;

use nutmeggrade_core::audit::AuditEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::recent_changes::AcceptedChange;

/// Place of a row: the configuration in force, then changes before entries, then time and counts.
type Place = (u64, bool, u64, Option<InstanceId>, u64, u64);

/// One row of the trail.
#[derive(Debug)]
pub enum Row {
    /// An accepted change.
    Change(AcceptedChange),
    /// What an instance did or refused.
    Entry(AuditEntry),
}

/// Changes in the order that the platform gave them, and between two of them what instances did
/// under the earlier one.
///
/// Wall clocks of instances differ, so time alone would put a refusal before the change that it
/// follows. The version in force orders the two; time only orders what happened under one version.
#[derive(Debug, Default)]
pub struct Trail {
    rows: BTreeMap<Place, Row>,
}

impl Trail {
    /// Makes an empty trail.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an accepted change; the same from two sources counts once.
    pub fn add_change(&mut self, change: AcceptedChange) {
        let place = (change.version, false, 0, None, 0, 0);
        self.rows.insert(place, Row::Change(change));
    }

    /// Adds an entry; the same from two sources counts once.
    pub fn add_entry(&mut self, entry: AuditEntry) {
        let instance = Some(entry.instance.clone());
        let place = (entry.config, true, entry.at_ms, instance, entry.incarnation, entry.number);
        self.rows.insert(place, Row::Entry(entry));
    }

    /// Lists the rows in order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
