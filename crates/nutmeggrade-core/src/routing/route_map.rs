//! Versions of the routing configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ApiKeys, CallLimits, Route, ServiceSpec, WorkspaceKey};
use crate::id::ServiceId;

/// Access that a request's API key grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route needs no key, or the configuration requires none.
    Open,
    /// The key belongs to a workspace.
    Workspace(WorkspaceKey),
    /// No workspace has the key.
    Unknown,
}

/// One version of the routing configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteMap {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on clients' requests and connections.
    pub limits: CallLimits,
    services: BTreeMap<ServiceId, ServiceSpec>,
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    keys: ApiKeys,
}

impl RouteMap {
    /// Creates a version without routes.
    pub fn new(version: u64, limits: CallLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds routes. Longer prefixes of a host are matched first.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            self.hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self
    }

    /// Adds services.
    #[must_use]
    pub fn with_services(mut self, services: impl IntoIterator<Item = ServiceSpec>) -> Self {
        self.services.extend(services.into_iter().map(|s| (s.name.clone(), s)));
        self
    }

    /// Sets the workspaces' API keys. By default requests need no key.
    #[must_use]
    pub fn with_keys(self, keys: ApiKeys) -> Self {
        Self { keys, ..self }
    }

    /// Returns the route of a request; the host may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the access that a key grants on a route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let workspace = key.and_then(|k| self.keys.workspace(k));
        match workspace {
            Some(workspace) => Access::Workspace(workspace.clone()),
            None if route.public || !self.keys.are_required() => Access::Open,
            None => Access::Unknown,
        }
    }

    /// Returns the smallest limit for the time between two events of the routes to each service.
    pub fn gap_limits(&self) -> BTreeMap<ServiceId, Duration> {
        let mut limits = BTreeMap::new();
        for route in self.hosts.values().flatten().filter(|r| !r.gap.is_zero()) {
            for split in &route.splits {
                let limit = limits.entry(split.service.clone()).or_insert(route.gap);
                *limit = route.gap.min(*limit);
            }
        }
        limits
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
