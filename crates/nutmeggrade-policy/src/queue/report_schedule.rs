//! When an instance reports its waiting requests.

use std::time::Duration;

use nutmeggrade_core::peer::WaitingReport;
use nutmeggrade_core::prelude::*;

/// Shortest interval between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of reports per second that an instance receives from all peers together. The remainder of
/// the 7 KB is for reports in heartbeats.
const BYTES_PER_SECOND: f64 = 5_500.0;
/// Bytes of a datagram beside its report: the frame, and the sender's name.
const DATAGRAM_BYTES: usize = 90;
/// Shortest time for which a report is valid.
const MIN_VALIDITY: Duration = Duration::from_secs(1);
/// Interval between two reports in heartbeats; at seventy heartbeats a second from all peers these
/// are about 4 KB/s if each carried one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Relative change of the waiting requests that is reported without a placement.
const REPORTED_CHANGE: f64 = 0.25;

/// Decides when an instance reports its waiting requests to its peers.
///
/// Reports of all peers share a fixed number of bytes per second at each receiver, so that they are
/// further apart in a larger fleet.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    sent_at: Option<Moment>,
    heartbeat_at: Option<Moment>,
    next_at: Moment,
    last: WaitingReport,
}

impl ReportSchedule {
    /// Creates the schedule of an instance that has not sent a report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the interval between reports of `bytes` bytes each.
    pub fn interval(bytes: usize, instance_count: usize) -> Duration {
        let bytes = (bytes * instance_count.saturating_sub(1)) as f64;
        Duration::from_secs_f64((bytes / BYTES_PER_SECOND).min(60.0)).max(MIN_INTERVAL)
    }

    /// Returns for how long a received report is valid.
    pub fn validity(report: &WaitingReport, instance_count: usize) -> Duration {
        (Self::interval(report.size(), instance_count) * 2).max(MIN_VALIDITY)
    }

    /// Returns whether a report may be sent now.
    pub fn is_open(&self, now: Moment) -> bool {
        self.next_at <= now
    }

    /// Returns whether a report is to be sent by itself: it differs by more than a quarter from the
    /// last one, or the last one is about to expire while requests wait.
    pub fn is_due(&self, report: &WaitingReport, instance_count: usize, now: Moment) -> bool {
        let age = self.sent_at.map(|at| now.since(at));
        let is_old = age.is_none_or(|age| age >= Self::validity(&self.last, instance_count) / 2);
        let waits = |r: &WaitingReport| r.entries().any(|e| e.count > 0);
        self.is_open(now) && (self.has_changed(report) || (is_old && waits(report)))
    }

    /// Records that a report is sent, with a placement or by itself.
    pub fn sent(
        &mut self,
        report: &WaitingReport,
        is_alone: bool,
        instance_count: usize,
        now: Moment,
    ) {
        let bytes = report.size() + if is_alone { DATAGRAM_BYTES } else { 0 };
        self.next_at = now.after(Self::interval(bytes, instance_count));
        self.sent_at = Some(now);
        self.last = report.clone();
    }

    /// Returns whether the next heartbeat carries a report, and records it.
    pub fn take_heartbeat(&mut self, now: Moment) -> bool {
        let is_due = self.heartbeat_at.is_none_or(|at| now.since(at) >= HEARTBEAT_INTERVAL);
        if is_due {
            self.heartbeat_at = Some(now);
        }
        is_due
    }

    fn has_changed(&self, report: &WaitingReport) -> bool {
        let count = |r: &WaitingReport, s: &ServiceId, p: u8| {
            let found = r.entries().find(|e| e.service == *s && e.priority == p);
            found.map_or(0, |e| e.count)
        };
        let differs = |s: &ServiceId, p: u8| {
            let (old, new) = (count(&self.last, s, p), count(report, s, p));
            f64::from(old.abs_diff(new)) > f64::from(old) * REPORTED_CHANGE
        };
        let all = self.last.entries().chain(report.entries());
        all.into_iter().any(|e| differs(&e.service, e.priority))
    }
}
