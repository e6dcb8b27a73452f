//! Restrictions on endpoints by their version.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_core::version_record::ServiceVersions;

use super::{Registered, Registry};
use crate::rollout::{VersionRole, VersionRule};

/// Time for which a new version of a service gets no work, unless a rollout order applies to it.
const NEW_VERSION_HOLD: Duration = Duration::from_secs(1);

/// First appearance of a version: when this instance saw it, and when its endpoint started.
type FirstSeen = (Moment, u64);

impl Registry {
    /// Replaces the version rules of all services that have a rollout.
    pub fn set_versions(&mut self, versions: BTreeMap<ServiceId, VersionRule>) {
        if self.versions != versions {
            self.versions = versions;
            self.changed.add_all();
        }
    }

    /// Returns whether any service has a version rule.
    pub fn has_version_rules(&self) -> bool {
        !self.versions.is_empty()
    }

    /// Returns rules that hold back all versions of a service except the first that appeared:
    /// without a time limit while the orders are unknown, else for a short time in which an order
    /// for a new version may arrive.
    pub fn provisional_rules(
        &self,
        orders_known: bool,
        now: Moment,
    ) -> BTreeMap<ServiceId, VersionRule> {
        let mut versions: BTreeMap<&ServiceId, BTreeMap<&VersionId, FirstSeen>> = BTreeMap::new();
        for entry in self.endpoints.values() {
            let EndpointInfo { service, version, born, .. } = &entry.info;
            let Some(version) = version else { continue };
            let first_seen = versions.entry(service).or_default();
            let first = first_seen.entry(version).or_insert((entry.joined, *born));
            *first = (*first).min((entry.joined, *born));
        }
        let rule = |(service, first_seen): (&ServiceId, BTreeMap<&VersionId, FirstSeen>)| {
            let (version, (joined, _)) = first_seen.iter().min_by_key(|(_, first)| **first)?;
            let (newest, _) = first_seen.values().max()?;
            let is_held_back = newest > joined && now.since(*newest) < NEW_VERSION_HOLD;
            let applies = first_seen.len() > 1 && (!orders_known || is_held_back);
            let (version, new, old) =
                (Clone::clone(*version), VersionRole::Serving, VersionRole::Held);
            applies.then(|| (service.clone(), VersionRule { version, new, old }))
        };
        versions.into_iter().filter_map(rule).collect()
    }

    /// Returns whether no other endpoint of the service has the same version.
    pub fn is_first_of_version(&self, info: &EndpointInfo) -> bool {
        let of_service = |e: &&Registered| e.info.service == info.service && e.info.id != info.id;
        let mut endpoints = self.endpoints.values().filter(of_service).peekable();
        endpoints.peek().is_some() && endpoints.all(|e| e.info.version != info.version)
    }

    /// Returns what an endpoint may get because of its version. If a service has only endpoints of
    /// the target version, these serve it even if the version is held.
    pub fn role(&self, info: &EndpointInfo) -> VersionRole {
        let Some(rule) = self.versions.get(&info.service) else { return VersionRole::Serving };
        let assigned = rule.role(info.version.as_ref());
        if assigned == VersionRole::Held && !self.has_other_version(&info.service, &rule.version) {
            return VersionRole::Serving;
        }
        assigned
    }

    /// Returns the versions at which streams of the service may have begun that clients take up: those of
    /// its endpoints, and of endpoints that were removed lately.
    pub fn recent_versions(&self, service: &ServiceId) -> BTreeSet<&VersionId> {
        let of_service = self.endpoints.values().filter(|e| e.info.service == *service);
        let registered = of_service.filter_map(|e| e.info.version.as_ref());
        registered.chain(self.removed_versions.of(service)).collect()
    }

    /// Returns the versions of all registered endpoints.
    pub fn registered_versions(&self) -> ServiceVersions {
        let mut versions = ServiceVersions::new();
        for EndpointInfo { service, version, .. } in self.endpoints.values().map(|e| &e.info) {
            let Some(version) = version else { continue };
            match versions.get_mut(service) {
                Some(known) if known.contains(version) => {}
                Some(known) => drop(known.insert(version.clone())),
                None => drop(versions.insert(service.clone(), BTreeSet::from([version.clone()]))),
            }
        }
        versions
    }

    /// Returns whether a service has versions, but no endpoint of this one that may get work.
    pub fn lacks_version(&self, service: &ServiceId, version: &VersionId) -> bool {
        let mut others = self.usable().filter(|e| e.info.service == *service).peekable();
        others.peek().is_some() && others.all(|e| e.info.version.as_ref() != Some(version))
    }

    /// Returns whether the service has a registered endpoint of another version.
    pub fn has_other_version(&self, service: &ServiceId, version: &VersionId) -> bool {
        let is_other =
            |e: &Registered| e.info.service == *service && e.info.version.as_ref() != Some(version);
        self.endpoints.values().any(is_other)
    }
}
