//! Table of the registered endpoints and of the restrictions on new work.

mod changed_ids;
mod removed_versions;
mod versions;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use crate::rollout::{VersionRole, VersionRule};

pub use changed_ids::ChangedIds;
use removed_versions::RemovedVersions;

/// Time for which an endpoint stays usable after it lost its entry in a platform outage. Entries of
/// live endpoints lapse during an outage and are back within two seconds after it; the margin is
/// for the transit of the last request.
const REGISTRATION_GRACE: Duration = Duration::from_millis(1_800);

/// Maximum share of a service's endpoints that may be missing for these to be treated as leaving,
/// as a divisor (3 means a third). If more are missing, the store has lost the entries of live
/// endpoints.
const MAX_MISSING_DIVISOR: usize = 3;

/// Time for which it is remembered that an endpoint announced its shutdown, longer than any stays.
const DEPARTURE_MEMORY: Duration = Duration::from_mins(10);

/// Why an endpoint gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    /// The endpoint announced its shutdown.
    Draining,
    /// Its entry was removed.
    Removed,
}

/// Time after registration in which an endpoint still counts as slow.
const WARMUP_PERIOD: Duration = Duration::from_secs(2);

/// One registered endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// Information from its registration.
    pub info: EndpointInfo,
    /// End of its cold start.
    pub cold_until: Moment,
    /// When this instance first saw this incarnation of the endpoint.
    pub joined: Moment,
    /// Set when its entry is missing after an outage: the moment at which it is removed.
    pub missing_until: Option<Moment>,
}

impl Registered {
    /// Returns whether the endpoint has been registered long enough to have reached full speed.
    pub fn is_warm(&self, now: Moment) -> bool {
        self.cold_until <= now && now.since(self.joined) >= WARMUP_PERIOD
    }
}

/// A change of the state of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It may get work.
    Joined(EndpointInfo),
    /// Its entry is missing after an outage of the store and may come back. It still gets work and
    /// is not reported as leaving, but its running work may have little time left.
    Missing(EndpointInfo),
    /// It gets no new work; its running work has little time left.
    Left(EndpointInfo, Leaving),
}

impl Change {
    /// Returns the endpoint that joined, if any.
    pub const fn joined(&self) -> Option<&EndpointInfo> {
        match self {
            Self::Joined(info) => Some(info),
            Self::Left(..) | Self::Missing(_) => None,
        }
    }

    /// Returns the id of the endpoint that left, if any.
    pub fn left(self) -> Option<EndpointId> {
        match self {
            Self::Left(info, _) => Some(info.id),
            Self::Joined(_) | Self::Missing(_) => None,
        }
    }
}

/// Table of the registered endpoints and the failure domains out of service.
///
/// A leaving endpoint must get no new work, and one that stays must not lose its work because the
/// platform's store was unavailable. Entries lapse during an outage of the store, so an entry
/// missing in the first listing after one counts as removed only after it had time to come back.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<EndpointId, Registered>,
    out_domains: BTreeSet<DomainId>,
    versions: BTreeMap<ServiceId, VersionRule>,
    /// Start times of endpoints that announced their shutdown, and when.
    departures: BTreeMap<EndpointId, (u64, Moment)>,
    /// Versions of endpoints that were removed, and when the last one was.
    removed_versions: RemovedVersions,
    /// Endpoints whose entries are missing.
    missing: BTreeSet<EndpointId>,
    changed: ChangedIds,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the endpoints with a complete listing. `after_outage` means that entries may have
    /// lapsed.
    pub fn replace(
        &mut self,
        all: &[EndpointInfo],
        after_outage: bool,
        now: Moment,
    ) -> Vec<Change> {
        let listed: BTreeSet<&EndpointId> = all.iter().map(|e| &e.id).collect();
        let missing: Vec<EndpointId> =
            self.endpoints.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let mut changes: Vec<Change> = all.iter().filter_map(|e| self.put(e, now)).collect();
        for id in missing {
            let change =
                if after_outage { self.mark_missing(&id, now) } else { self.remove(&id, now) };
            changes.extend(change);
        }
        changes
    }

    /// Applies an endpoint's new entry.
    pub fn put(&mut self, info: &EndpointInfo, now: Moment) -> Option<Change> {
        let old = self.endpoints.get(&info.id);
        let was_leaving = old.is_some_and(|o| o.info.leaving && o.info.born == info.born)
            || self.has_departed(info);
        // Ignores an entry of an earlier incarnation with the same id.
        if old.is_some_and(|o| o.info.born > info.born) {
            return None;
        }
        let was_known = old.is_some_and(|o| o.info.born == info.born);
        let mut info = info.clone();
        // An older entry that arrives late must not revert an endpoint from leaving, nor one that
        // expired with the store and came back.
        info.leaving |= was_leaving;
        if info.leaving {
            self.departures.insert(info.id.clone(), (info.born, now));
        }
        let cold_until = now.after(info.cold_left);
        if let Some(ended) = old.filter(|_| !was_known) {
            self.removed_versions.note(&ended.info, now);
        }
        let joined = old.filter(|_| was_known).map_or(now, |o| o.joined);
        let entry = Registered { info: info.clone(), cold_until, joined, missing_until: None };
        self.missing.remove(&info.id);
        self.changed.add(&info.id);
        self.endpoints.insert(info.id.clone(), entry);
        match (was_known, was_leaving, info.leaving) {
            (_, false, true) => Some(Change::Left(info, Leaving::Draining)),
            (false, _, false) => Some(Change::Joined(info)),
            _ => None,
        }
    }

    /// Marks an endpoint as leaving, as announced by itself.
    pub fn leave(&mut self, id: &EndpointId, now: Moment) -> Option<Change> {
        let entry = self.endpoints.get_mut(id).filter(|e| !e.info.leaving)?;
        entry.info.leaving = true;
        self.changed.add(id);
        self.departures.insert(id.clone(), (entry.info.born, now));
        Some(Change::Left(entry.info.clone(), Leaving::Draining))
    }

    /// Marks the incarnation of an endpoint that started at `born` as leaving. An older one is
    /// removed, since a newer one has taken its place.
    pub fn leave_incarnation(&mut self, id: &EndpointId, born: u64, now: Moment) -> Option<Change> {
        let entry = self.endpoints.get_mut(id)?;
        match entry.info.born.cmp(&born) {
            Ordering::Less => self.remove(id, now),
            Ordering::Equal => {
                // Its entry is there again.
                entry.missing_until = None;
                self.missing.remove(id);
                self.leave(id, now)
            }
            Ordering::Greater => None,
        }
    }

    /// Returns whether this incarnation of an endpoint announced its shutdown. Without a start time,
    /// it can't be told from the next one.
    fn has_departed(&self, info: &EndpointInfo) -> bool {
        info.born > 0 && self.departures.get(&info.id).is_some_and(|(born, _)| *born == info.born)
    }

    /// Removes an endpoint whose entry is gone.
    pub fn remove(&mut self, id: &EndpointId, now: Moment) -> Option<Change> {
        let old = self.endpoints.remove(id)?;
        self.removed_versions.note(&old.info, now);
        self.missing.remove(id);
        self.changed.add(id);
        Some(Change::Left(old.info, Leaving::Removed))
    }

    /// Marks an entry as missing after an outage; it is removed unless it comes back in time.
    /// Returns a change only for the first call.
    pub fn mark_missing(&mut self, id: &EndpointId, now: Moment) -> Option<Change> {
        let entry = self.endpoints.get_mut(id).filter(|e| e.missing_until.is_none())?;
        entry.missing_until = Some(now.after(REGISTRATION_GRACE));
        self.missing.insert(id.clone());
        Some(Change::Missing(entry.info.clone()))
    }

    /// Removes entries that did not come back in time.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        self.departures.retain(|_, (_, at)| now.since(*at) < DEPARTURE_MEMORY);
        self.removed_versions.forget(now);
        let is_expired = |e: &Registered| e.missing_until.is_some_and(|until| until <= now);
        let is_over = |id: &&EndpointId| self.get(id).is_some_and(is_expired);
        let expired: Vec<EndpointId> = self.missing.iter().filter(is_over).cloned().collect();
        expired.iter().filter_map(|id| self.remove(id, now)).collect()
    }

    /// Replaces the failure domains that are out of service.
    pub fn set_out_domains(&mut self, out: &BTreeSet<DomainId>) {
        self.out_domains.clone_from(out);
        self.changed.add_all();
    }

    /// Returns the endpoints that may have changed since the last call.
    pub fn take_changed(&mut self) -> ChangedIds {
        std::mem::take(&mut self.changed)
    }

    /// Returns the failure domains that are out of service.
    pub const fn out(&self) -> &BTreeSet<DomainId> {
        &self.out_domains
    }

    /// Returns whether an endpoint may get new work; call it immediately before sending a request.
    pub fn may_send(&self, id: &EndpointId) -> bool {
        self.get_usable(id).is_some()
    }

    /// Returns whether the work running at an endpoint should move elsewhere.
    ///
    /// An endpoint may shut down unannounced just after an outage. Its entry then disappears like
    /// those that lapsed with the store. Waiting for it to come back would leave no time to move
    /// its running work, and streams would break off when the endpoint is removed. If only a few
    /// entries are missing, those endpoints therefore count as leaving for their running work.
    pub fn should_move_work(&self, id: &EndpointId) -> bool {
        let Some(entry) = self.endpoints.get(id) else { return true };
        let is_missing = entry.missing_until.is_some();
        entry.info.leaving
            || self.role(&entry.info) == VersionRole::Retired
            || (is_missing && self.is_mostly_registered(&entry.info.service))
    }

    /// Lists the endpoints whose entries are missing and may come back.
    pub fn missing(&self) -> impl Iterator<Item = &EndpointId> {
        self.missing.iter()
    }

    fn is_mostly_registered(&self, service: &ServiceId) -> bool {
        let of_service = self.endpoints.values().filter(|e| e.info.service == *service);
        let missing = of_service.clone().filter(|e| e.missing_until.is_some()).count();
        missing * MAX_MISSING_DIVISOR <= of_service.count()
    }

    /// Returns whether an incarnation of an endpoint has ended: its entry is gone, or a later process
    /// has its id or its address.
    pub fn has_ended(&self, id: &EndpointId, born: u64) -> bool {
        let Some(entry) = self.endpoints.get(id) else { return true };
        let is_successor = |other: &Registered| {
            other.info.address == entry.info.address && other.info.born > entry.info.born
        };
        entry.info.born > born || self.endpoints.values().any(is_successor)
    }

    /// Returns a registered endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Registered> {
        self.endpoints.get(id)
    }

    /// Returns the number of registered endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Lists all registered endpoints, in service or not.
    pub fn all(&self) -> impl Iterator<Item = &Registered> {
        self.endpoints.values()
    }

    /// Returns a registered endpoint if it may get new work.
    pub fn get_usable(&self, id: &EndpointId) -> Option<&Registered> {
        self.endpoints.get(id).filter(|e| self.in_service(e))
    }

    /// Lists the endpoints that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Registered> {
        self.endpoints.values().filter(|e| self.in_service(e))
    }

    /// Returns whether an endpoint is not leaving and its failure domain is in service.
    pub fn is_open(&self, entry: &Registered) -> bool {
        !entry.info.leaving && !self.out_domains.contains(&entry.info.domain)
    }

    fn in_service(&self, entry: &Registered) -> bool {
        self.is_open(entry)
            && matches!(self.role(&entry.info), VersionRole::Serving | VersionRole::Canary)
    }
}
