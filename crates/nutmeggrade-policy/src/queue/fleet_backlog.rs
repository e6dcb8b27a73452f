//! Requests that wait at peers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{WaitingEntry, WaitingReport};
use nutmeggrade_core::prelude::*;

use super::{BacklogLevel, ReportSchedule};

/// Number of priorities.
const PRIORITIES: usize = nutmeggrade_core::peer::MAX_PRIORITY as usize + 1;
/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 1_024;
/// What a peer's report may count at most, as a multiple of the peer's even share of the capacity.
const MAX_SHARES: u64 = 4;
/// Number of reporting peers from which on their rates are compared.
const MIN_COMPARED: usize = 3;

#[derive(Debug)]
struct PeerReport {
    received_at: Moment,
    valid_until: Moment,
    entries: Vec<WaitingEntry>,
}

/// Requests that wait at peers, by their last reports.
///
/// Instances that know only their own queues place less urgent requests while more urgent ones wait
/// elsewhere. A report may be stale, late or wrong, so it expires, and counts at most four times
/// the peer's even share of the capacity.
#[derive(Debug, Default)]
pub struct FleetBacklog {
    peers: BTreeMap<InstanceId, PeerReport>,
    capacities: BTreeMap<ServiceId, u64>,
    /// Until when valid reports mention requests of a service and priority, and waiting ones.
    mentioned: BTreeMap<(ServiceId, u8), Mention>,
    instance_count: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mention {
    recent_until: Moment,
    waiting_until: Moment,
}

impl FleetBacklog {
    /// Creates a backlog without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of instances in the fleet.
    pub const fn set_instance_count(&mut self, count: usize) {
        self.instance_count = count;
    }

    /// Returns the number of instances in the fleet, at least those with reports and this one.
    pub fn instance_count(&self) -> usize {
        self.instance_count.max(self.peers.len() + 1)
    }

    /// Sets the total capacity of a service, which bounds what a peer may report.
    pub fn set_capacity(&mut self, service: &ServiceId, capacity: u64) {
        self.capacities.insert(service.clone(), capacity);
    }

    /// Replaces the report of a peer. An empty report tells nothing and is ignored.
    pub fn receive(&mut self, peer: &InstanceId, report: &WaitingReport, now: Moment) {
        let is_full = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer);
        if report.is_empty() || is_full {
            return;
        }
        let validity = ReportSchedule::validity(report, self.instance_count());
        let valid_until = now.after(validity);
        // Entries of services without endpoints decide nothing.
        let is_known = |e: &&WaitingEntry| self.capacities.contains_key(&e.service);
        let entries: Vec<WaitingEntry> = report.entries().filter(is_known).cloned().collect();
        for entry in &entries {
            let key = (entry.service.clone(), entry.priority);
            let mention = self.mentioned.entry(key).or_default();
            mention.recent_until = mention.recent_until.max(valid_until);
            if entry.count > 0 {
                mention.waiting_until = mention.waiting_until.max(valid_until);
            }
        }
        self.peers.insert(peer.clone(), PeerReport { received_at: now, valid_until, entries });
    }

    /// Removes the report of a peer that is gone.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// Removes reports that are no longer valid.
    pub fn expire(&mut self, now: Moment) {
        self.peers.retain(|_, report| report.valid_until > now);
        self.mentioned.retain(|_, mention| mention.recent_until > now);
    }

    /// Returns whether reports mention waiting requests of a service, or requests of another
    /// priority than `only`.
    pub fn is_active(&self, service: &ServiceId, only: Option<u8>, now: Moment) -> bool {
        self.mentions(service, 0).any(|(priority, mention)| {
            let is_recent = mention.recent_until > now && Some(priority) != only;
            is_recent || mention.waiting_until > now
        })
    }

    /// Returns whether reports mention requests of a service that are less urgent than `priority`.
    pub fn has_less_urgent(&self, service: &ServiceId, priority: u8, now: Moment) -> bool {
        self.mentions(service, priority + 1).any(|(_, mention)| mention.recent_until > now)
    }

    /// Returns the requests of a service at all peers, by priority.
    pub fn levels(&self, service: &ServiceId, now: Moment) -> [BacklogLevel; PRIORITIES] {
        let mut levels = [BacklogLevel::default(); PRIORITIES];
        let most = self.most_per_peer(service);
        let mut rates = Vec::new();
        for (report, entry) in self.valid(service, now) {
            rates.push((usize::from(entry.priority), entry.rate.min(most)));
            let Some(level) = levels.get_mut(usize::from(entry.priority)) else { continue };
            level.add(&BacklogLevel {
                count: u64::from(entry.count).min(most),
                memory: entry.memory.min(most),
                rate: 0,
                held: entry.held.min(most),
                earliest: (entry.count > 0).then(|| report.received_at.after(entry.deadline)),
            });
        }
        let reporting = self.peers.values().filter(|report| report.valid_until > now).count();
        add_rates(&mut levels, &rates, reporting);
        levels
    }

    /// Returns the memory that waits at peers for a service ahead of a request with this priority
    /// and start deadline.
    pub fn memory_ahead(
        &self,
        service: &ServiceId,
        priority: u8,
        start_deadline: Moment,
        now: Moment,
    ) -> u64 {
        let most = self.most_per_peer(service);
        let ahead = self.valid(service, now).map(|(report, entry)| {
            let memory = entry.memory.min(most);
            match entry.priority.cmp(&priority) {
                std::cmp::Ordering::Less => memory,
                std::cmp::Ordering::Equal => {
                    let earliest = report.received_at.after(entry.deadline);
                    earlier_part(memory, earliest, entry.oldest, start_deadline)
                }
                std::cmp::Ordering::Greater => 0,
            }
        });
        ahead.fold(0, u64::saturating_add)
    }

    /// Adds the numbers of requests that wait at peers, by priority.
    pub fn add_waiting(&self, counts: &mut [u64], now: Moment) {
        for report in self.peers.values().filter(|report| report.valid_until > now) {
            for entry in &report.entries {
                if let Some(count) = counts.get_mut(usize::from(entry.priority)) {
                    let most = self.most_per_peer(&entry.service);
                    *count = count.saturating_add(u64::from(entry.count).min(most));
                }
            }
        }
    }

    fn mentions<'a>(
        &'a self,
        service: &ServiceId,
        first: u8,
    ) -> impl Iterator<Item = (u8, &'a Mention)> {
        let range = (service.clone(), first)..=(service.clone(), u8::MAX);
        self.mentioned.range(range).map(|((_, priority), mention)| (*priority, mention))
    }

    fn valid<'a>(
        &'a self,
        service: &'a ServiceId,
        now: Moment,
    ) -> impl Iterator<Item = (&'a PeerReport, &'a WaitingEntry)> {
        let reports = self.peers.values().filter(move |report| report.valid_until > now);
        let entries = reports.flat_map(|r| r.entries.iter().map(move |e| (r, e)));
        entries.filter(move |(_, entry)| entry.service == *service)
    }

    fn most_per_peer(&self, service: &ServiceId) -> u64 {
        let capacity = self.capacities.get(service).copied().unwrap_or(0);
        let instances = u64::try_from(self.instance_count()).unwrap_or(u64::MAX);
        capacity.saturating_mul(MAX_SHARES) / instances
    }
}

/// Adds the rates of `reporting` peers, by priority. Each counts at most as a multiple of the mean of
/// the other peers, so that a single wrong rate can't take a large part of the capacity.
fn add_rates(levels: &mut [BacklogLevel], rates: &[(usize, u64)], reporting: usize) {
    let others = u64::try_from(reporting).unwrap_or(u64::MAX).saturating_sub(1);
    for (priority, level) in levels.iter_mut().enumerate() {
        let of_priority = || rates.iter().filter(|(p, _)| *p == priority).map(|(_, rate)| *rate);
        let sum = of_priority().fold(0, u64::saturating_add);
        let bounded = |rate: u64| {
            let mean = sum.saturating_sub(rate).checked_div(others).unwrap_or(0);
            if reporting < MIN_COMPARED { rate } else { rate.min(mean.saturating_mul(MAX_SHARES)) }
        };
        level.rate = of_priority().map(bounded).fold(0, u64::saturating_add);
    }
}

/// Returns the part of the waiting memory whose start deadline is before another one. Requests
/// arrived evenly over the age of the oldest, so their deadlines are taken as even over as long.
fn earlier_part(memory: u64, earliest: Moment, age: Duration, deadline: Moment) -> u64 {
    let ahead = deadline.since(earliest).as_millis();
    let age = age.as_millis().max(1);
    let part = u128::from(memory).saturating_mul(ahead.min(age)) / age;
    u64::try_from(part).unwrap_or(memory)
}
