//! The endpoints that registered themselves, less those that may get nothing new.

mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use crate::rollout::{Standing, VersionRule};

/// Time for which an endpoint stays usable that lost its entry while the platform was away. Entries
/// lapse then although the endpoints live, and are back within two seconds of its return; a little
/// less leaves room for the way of the last request.
const RETURN_WAIT: Duration = Duration::from_millis(1_800);

/// Part of a service's endpoints, as one in so many, that may be missing at most if those are taken for
/// leaving. Where more are, the store has lost the entries of endpoints that live.
const FEW: usize = 3;

/// Why an endpoint gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    /// It said that it will end.
    Draining,
    /// Its entry is gone.
    Removed,
}

/// Time after which a new endpoint is no longer slow from its start.
const WARMING: Duration = Duration::from_secs(2);

/// One registered endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// What it says of itself.
    pub info: EndpointInfo,
    /// Until when it is cold.
    pub cold_until: Moment,
    /// When this instance first knew of this life of it.
    pub joined: Moment,
    /// Set once its entry was found missing after an outage; it is dropped at that moment.
    pub missing_until: Option<Moment>,
}

impl Registered {
    /// Says whether the endpoint has been there for long enough to be as fast as it gets.
    pub fn is_warm(&self, now: Moment) -> bool {
        self.cold_until <= now && now.since(self.joined) >= WARMING
    }
}

/// A change of what is known about an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It may get work.
    Joined(EndpointInfo),
    /// Its entry is missing after an outage of the store and may come back. It still gets work, and nobody
    /// is told that it leaves; what runs there may have little time left.
    Missing(EndpointInfo),
    /// It gets nothing new; what runs there has little time left.
    Left(EndpointInfo, Leaving),
}

impl Change {
    /// Returns the endpoint that joined, if one did.
    pub const fn joined(&self) -> Option<&EndpointInfo> {
        match self {
            Self::Joined(info) => Some(info),
            Self::Left(..) | Self::Missing(_) => None,
        }
    }

    /// Returns the endpoint that left, if one did.
    pub fn left(self) -> Option<EndpointId> {
        match self {
            Self::Left(info, _) => Some(info.id),
            Self::Joined(_) | Self::Missing(_) => None,
        }
    }
}

/// The endpoints that registered themselves and the failure domains that are out.
///
/// An endpoint that leaves must get nothing new, and one that did not leave must not lose its work
/// because the platform's store was away. Entries lapse with the store, so an entry that is missing
/// in the first listing after an outage counts as gone only once it had time to come back.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<EndpointId, Registered>,
    out: BTreeSet<DomainId>,
    versions: BTreeMap<ServiceId, VersionRule>,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a whole listing. `after_outage` says that entries may have lapsed.
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
            let change = if after_outage { self.miss(&id, now) } else { self.remove(&id) };
            changes.extend(change);
        }
        changes
    }

    /// Takes an endpoint's new entry.
    pub fn put(&mut self, info: &EndpointInfo, now: Moment) -> Option<Change> {
        let old = self.endpoints.get(&info.id);
        let was_leaving = old.is_some_and(|o| o.info.leaving && o.info.born == info.born);
        // Two lives under one id: the later one knows nothing of what the earlier one did.
        if old.is_some_and(|o| o.info.born > info.born) {
            return None;
        }
        let was_known = old.is_some_and(|o| o.info.born == info.born);
        let mut info = info.clone();
        // An older entry that arrives late must not bring back an endpoint that leaves.
        info.leaving |= was_leaving;
        let cold_until = now.after(info.cold_left);
        let joined = old.filter(|_| was_known).map_or(now, |o| o.joined);
        let fresh = Registered { info: info.clone(), cold_until, joined, missing_until: None };
        self.endpoints.insert(info.id.clone(), fresh);
        match (was_known, was_leaving, info.leaving) {
            (_, false, true) => Some(Change::Left(info, Leaving::Draining)),
            (false, _, false) => Some(Change::Joined(info)),
            _ => None,
        }
    }

    /// Takes an endpoint's own word that it leaves.
    pub fn leave(&mut self, id: &EndpointId) -> Option<Change> {
        let entry = self.endpoints.get_mut(id).filter(|e| !e.info.leaving)?;
        entry.info.leaving = true;
        Some(Change::Left(entry.info.clone(), Leaving::Draining))
    }

    /// Takes the news that an endpoint's entry is gone.
    pub fn remove(&mut self, id: &EndpointId) -> Option<Change> {
        let old = self.endpoints.remove(id)?;
        Some(Change::Left(old.info, Leaving::Removed))
    }

    /// Notes that an entry was missing after an outage; it is dropped unless it comes back in time. Says so
    /// once.
    pub fn miss(&mut self, id: &EndpointId, now: Moment) -> Option<Change> {
        let entry = self.endpoints.get_mut(id).filter(|e| e.missing_until.is_none())?;
        entry.missing_until = Some(now.after(RETURN_WAIT));
        Some(Change::Missing(entry.info.clone()))
    }

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        let is_over = |e: &Registered| e.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<EndpointId> =
            self.endpoints.iter().filter(|(_, e)| is_over(e)).map(|(id, _)| id.clone()).collect();
        gone.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Replaces the failure domains that are out.
    pub fn set_out(&mut self, out: &BTreeSet<DomainId>) {
        self.out.clone_from(out);
    }

    /// Returns the failure domains that are out.
    pub const fn out(&self) -> &BTreeSet<DomainId> {
        &self.out
    }

    /// Says whether an endpoint may get new work; asked immediately before a request is sent.
    pub fn may_send(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|e| self.in_service(e))
    }

    /// Says whether what runs at an endpoint should go on elsewhere.
    ///
    /// An endpoint may leave without a word just after an outage. Its entry then vanishes like those that
    /// lapsed with the store, and whoever waits until it could have come back has no time left to take
    /// along what runs there; one notices streams that break off in the moment at which the endpoint is
    /// dropped. A few missing ones therefore count as leaving for what runs there.
    pub fn is_parting(&self, id: &EndpointId) -> bool {
        let Some(entry) = self.endpoints.get(id) else { return true };
        let is_missing = entry.missing_until.is_some();
        entry.info.leaving
            || self.standing(&entry.info) == Standing::Retired
            || (is_missing && self.is_mostly_there(&entry.info.service))
    }

    /// Lists those whose entries are missing and may come back.
    pub fn missing(&self) -> impl Iterator<Item = &EndpointId> {
        let missing = self.endpoints.iter().filter(|(_, e)| e.missing_until.is_some());
        missing.map(|(id, _)| id)
    }

    fn is_mostly_there(&self, service: &ServiceId) -> bool {
        let of_service = self.endpoints.values().filter(|e| e.info.service == *service);
        let missing = of_service.clone().filter(|e| e.missing_until.is_some()).count();
        missing * FEW <= of_service.count()
    }

    /// Returns an endpoint that is registered.
    pub fn get(&self, id: &EndpointId) -> Option<&Registered> {
        self.endpoints.get(id)
    }

    /// Lists all that are registered, in service or not.
    pub fn all(&self) -> impl Iterator<Item = &Registered> {
        self.endpoints.values()
    }

    /// Lists those that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Registered> {
        self.endpoints.values().filter(|e| self.in_service(e))
    }

    /// Says whether an endpoint stays and its failure domain is in service.
    pub fn is_open(&self, entry: &Registered) -> bool {
        !entry.info.leaving && !self.out.contains(&entry.info.domain)
    }

    fn in_service(&self, entry: &Registered) -> bool {
        self.is_open(entry)
            && matches!(self.standing(&entry.info), Standing::Serving | Standing::Canary)
    }
}
