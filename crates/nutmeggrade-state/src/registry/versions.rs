//! What endpoints may get because of their version.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use super::{Registered, Registry};
use crate::rollout::{Standing, VersionRule};

/// Time for which a version that is new to a service gets nothing, unless an order says what it gets.
const UNANNOUNCED: Duration = Duration::from_secs(1);

/// When a version was there first: when this instance knew of it, and when its endpoint started.
type First = (Moment, u64);

impl Registry {
    /// Replaces what endpoints may get by their version, for each service with a roll-out.
    pub fn set_versions(&mut self, versions: BTreeMap<ServiceId, VersionRule>) {
        self.versions = versions;
    }

    /// Returns rules that hold back all versions of a service but the first one that was there: for good while
    /// it is not known which orders there are, else for the moment in which an order of theirs may be read.
    pub fn provisional(&self, knows_orders: bool, now: Moment) -> BTreeMap<ServiceId, VersionRule> {
        let mut versions: BTreeMap<&ServiceId, BTreeMap<&VersionId, First>> = BTreeMap::new();
        for entry in self.endpoints.values() {
            let EndpointInfo { service, version, born, .. } = &entry.info;
            let Some(version) = version else { continue };
            let known = versions.entry(service).or_default();
            let first = known.entry(version).or_insert((entry.joined, *born));
            *first = (*first).min((entry.joined, *born));
        }
        let rule = |(service, firsts): (&ServiceId, BTreeMap<&VersionId, First>)| {
            let (version, (joined, _)) = firsts.iter().min_by_key(|(_, first)| **first)?;
            let (newest, _) = firsts.values().max()?;
            let is_fresh = newest > joined && now.since(*newest) < UNANNOUNCED;
            let holds = firsts.len() > 1 && (!knows_orders || is_fresh);
            let (version, new, old) = (Clone::clone(*version), Standing::Serving, Standing::Held);
            holds.then(|| (service.clone(), VersionRule { version, new, old }))
        };
        versions.into_iter().filter_map(rule).collect()
    }

    /// Says whether an endpoint has a version that no other one of its service has.
    pub fn is_first_of_version(&self, info: &EndpointInfo) -> bool {
        let of_service = |e: &&Registered| e.info.service == info.service && e.info.id != info.id;
        let mut others = self.endpoints.values().filter(of_service).peekable();
        others.peek().is_some() && others.all(|e| e.info.version != info.version)
    }

    /// Returns what an endpoint may get because of its version. Where a service has endpoints of the
    /// version only that it is to move to, they serve it.
    pub fn standing(&self, info: &EndpointInfo) -> Standing {
        let Some(rule) = self.versions.get(&info.service) else { return Standing::Serving };
        let standing = rule.standing(info.version.as_ref());
        if standing == Standing::Held && !self.has_other(&info.service, &rule.version) {
            return Standing::Serving;
        }
        standing
    }

    /// Says whether an endpoint of another version is registered.
    pub fn has_other(&self, service: &ServiceId, version: &VersionId) -> bool {
        let is_other =
            |e: &Registered| e.info.service == *service && e.info.version.as_ref() != Some(version);
        self.endpoints.values().any(is_other)
    }
}
