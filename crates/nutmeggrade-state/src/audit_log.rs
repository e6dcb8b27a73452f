//! Entries of the audit trail on their way to the platform, and the latest ones for operators.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::audit::{AuditEntry, AuditEvent};
use nutmeggrade_core::prelude::*;

/// Entries that wait for the platform; the oldest is given up when there are more.
pub const MAX_PENDING: usize = 64;
/// Latest entries that are kept for operators during an outage.
pub const MAX_RECENT: usize = 256;
/// Time in which an event that says the same is only counted.
pub const QUIET: Duration = Duration::from_mins(1);
/// Longest detail, in bytes.
const MAX_DETAIL: usize = 240;
/// Different events that are remembered to leave out their repeats.
const MAX_KINDS: usize = 256;

#[derive(Debug)]
struct Kind {
    at: Moment,
    repeats: u64,
}

/// The audit trail of one instance, bounded on every side.
///
/// What an instance refuses, it may refuse thousands of times a second: a script with a wrong token,
/// callers of an instance that is cut off. Were each a write, the platform would be overrun by its
/// own trail and one would notice changes that take long; were each kept, the instance would run out
/// of memory in an outage. Repeats within a minute are counted, not kept.
#[derive(Debug)]
pub struct AuditLog {
    own: InstanceId,
    incarnation: u64,
    count: u64,
    lost: u64,
    pending: VecDeque<AuditEntry>,
    recent: VecDeque<AuditEntry>,
    kinds: BTreeMap<(AuditEvent, String), Kind>,
}

impl AuditLog {
    /// Makes an empty log of one life of an instance.
    pub fn new(own: &InstanceId, incarnation: u64) -> Self {
        Self {
            own: own.clone(),
            incarnation,
            count: 0,
            lost: 0,
            pending: VecDeque::new(),
            recent: VecDeque::new(),
            kinds: BTreeMap::new(),
        }
    }

    /// Notes an event; returns the entry unless it only repeats one of the last minute.
    pub fn note(
        &mut self,
        event: AuditEvent,
        detail: &str,
        config: u64,
        at_ms: u64,
        now: Moment,
    ) -> Option<&AuditEntry> {
        let detail = detail[..detail.floor_char_boundary(MAX_DETAIL)].to_owned();
        let repeats = self.repeats(event, &detail, now)?;
        self.count += 1;
        let entry = AuditEntry {
            instance: self.own.clone(),
            incarnation: self.incarnation,
            number: self.count,
            at_ms,
            config,
            event,
            detail,
            repeats,
        };
        self.lost += push(&mut self.pending, entry.clone(), MAX_PENDING);
        push(&mut self.recent, entry, MAX_RECENT);
        self.recent.back()
    }

    /// Returns the oldest entry that the platform does not have yet.
    pub fn first_pending(&self) -> Option<&AuditEntry> {
        self.pending.front()
    }

    /// Notes that the platform has an entry.
    pub fn written(&mut self, number: u64) {
        self.pending.retain(|e| e.number != number);
    }

    /// Lists the latest entries, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &AuditEntry> {
        self.recent.iter()
    }

    /// Returns how many entries were given up because the platform was away for too long.
    pub const fn lost(&self) -> u64 {
        self.lost
    }

    /// Counts an event; `None` if it only repeats one of the last minute.
    fn repeats(&mut self, event: AuditEvent, detail: &str, now: Moment) -> Option<u64> {
        self.kinds.retain(|_, k| k.repeats > 0 || now.since(k.at) < QUIET);
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.clear();
        }
        let fresh = Kind { at: now, repeats: 0 };
        match self.kinds.insert((event, detail.to_owned()), fresh) {
            Some(old) if now.since(old.at) < QUIET => {
                let kept = Kind { at: old.at, repeats: old.repeats + 1 };
                self.kinds.insert((event, detail.to_owned()), kept);
                None
            }
            Some(old) => Some(old.repeats),
            None => Some(0),
        }
    }
}

/// Adds an entry and returns how many old ones had to go.
fn push(list: &mut VecDeque<AuditEntry>, entry: AuditEntry, most: usize) -> u64 {
    list.push_back(entry);
    if list.len() <= most {
        return 0;
    }
    list.pop_front();
    1
}
