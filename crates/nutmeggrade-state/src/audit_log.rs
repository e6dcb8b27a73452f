//! Queue of audit entries to write to the platform, and the latest entries for operators.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::audit::{AuditEntry, AuditEvent};
use nutmeggrade_core::prelude::*;

/// Maximum number of entries that wait for the platform; the oldest is dropped when there are more.
pub const MAX_PENDING: usize = 64;
/// Number of latest entries that are kept for operators during an outage.
pub const MAX_RECENT: usize = 256;
/// Time in which repeats of an event are only counted.
pub const REPEAT_WINDOW: Duration = Duration::from_mins(1);
/// Maximum length of a detail, in bytes.
const MAX_DETAIL_BYTES: usize = 240;
/// Maximum number of different events that are stored to detect repeats.
const MAX_EVENT_COUNTS: usize = 256;

#[derive(Debug)]
struct EventCount {
    first_at: Moment,
    repeats: u64,
}

/// Audit log of one instance, with all its parts bounded.
///
/// An instance may reject thousands of requests a second: a script with a wrong token, or the
/// callers of an isolated instance. If each rejection were written, the platform would be
/// overloaded by audit entries and configuration changes would take long; if each were kept, the
/// instance would run out of memory in an outage. Repeats within a minute are therefore only
/// counted.
#[derive(Debug)]
pub struct AuditLog {
    own_id: InstanceId,
    incarnation: u64,
    last_number: u64,
    dropped: u64,
    pending: VecDeque<AuditEntry>,
    recent: VecDeque<AuditEntry>,
    event_counts: BTreeMap<(AuditEvent, String), EventCount>,
}

impl AuditLog {
    /// Creates an empty log for one incarnation of an instance.
    pub fn new(own_id: &InstanceId, incarnation: u64) -> Self {
        Self {
            own_id: own_id.clone(),
            incarnation,
            last_number: 0,
            dropped: 0,
            pending: VecDeque::new(),
            recent: VecDeque::new(),
            event_counts: BTreeMap::new(),
        }
    }

    /// Records an event; returns the new entry, or `None` for a repeat within the last minute.
    pub fn note(
        &mut self,
        event: AuditEvent,
        detail: &str,
        config: u64,
        at_ms: u64,
        now: Moment,
    ) -> Option<&AuditEntry> {
        let detail = detail[..detail.floor_char_boundary(MAX_DETAIL_BYTES)].to_owned();
        let repeats = self.count_repeat(event, &detail, now)?;
        self.last_number += 1;
        let entry = AuditEntry {
            instance: self.own_id.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            at_ms,
            config,
            event,
            detail,
            repeats,
        };
        self.dropped += push_bounded(&mut self.pending, entry.clone(), MAX_PENDING);
        push_bounded(&mut self.recent, entry, MAX_RECENT);
        self.recent.back()
    }

    /// Returns the oldest entry that is not yet written to the platform.
    pub fn first_pending(&self) -> Option<&AuditEntry> {
        self.pending.front()
    }

    /// Removes an entry from the queue after it was written to the platform.
    pub fn mark_written(&mut self, number: u64) {
        self.pending.retain(|e| e.number != number);
    }

    /// Lists the latest entries, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &AuditEntry> {
        self.recent.iter()
    }

    /// Returns the number of entries that were dropped because the platform was unavailable for too
    /// long.
    pub const fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of suppressed repeats before this event; `None` if it is itself a repeat
    /// within the last minute.
    fn count_repeat(&mut self, event: AuditEvent, detail: &str, now: Moment) -> Option<u64> {
        self.event_counts.retain(|_, c| c.repeats > 0 || now.since(c.first_at) < REPEAT_WINDOW);
        if self.event_counts.len() >= MAX_EVENT_COUNTS {
            self.event_counts.clear();
        }
        let first = EventCount { first_at: now, repeats: 0 };
        match self.event_counts.insert((event, detail.to_owned()), first) {
            Some(old) if now.since(old.first_at) < REPEAT_WINDOW => {
                let updated = EventCount { first_at: old.first_at, repeats: old.repeats + 1 };
                self.event_counts.insert((event, detail.to_owned()), updated);
                None
            }
            Some(old) => Some(old.repeats),
            None => Some(0),
        }
    }
}

/// Adds an entry and returns the number of old ones that were dropped.
fn push_bounded(list: &mut VecDeque<AuditEntry>, entry: AuditEntry, max_len: usize) -> u64 {
    list.push_back(entry);
    if list.len() <= max_len {
        return 0;
    }
    list.pop_front();
    1
}
