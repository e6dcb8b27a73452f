//! Compact form of endpoints for transfers between instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{DomainId, EndpointId, ServiceId, VersionId};
use crate::routing::EndpointInfo;

/// Properties that most endpoints of a service have in common.
type GroupKey = (ServiceId, DomainId, Option<VersionId>, u32);

/// Endpoints, grouped by service, failure domain, version and number of slots.
///
/// Each endpoint takes about 40 bytes, a tenth of its entry in the store, and decoded endpoints of a
/// group share the names that they have in common.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointGroups(Vec<(GroupKey, Vec<Member>)>);

/// What differs between the endpoints of a group.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Member(
    EndpointId,
    SocketAddr,
    bool,
    #[serde_as(as = "DurationMilliSeconds<u64>")] Duration,
    u64,
);

impl EndpointGroups {
    /// Groups endpoints.
    pub fn new(endpoints: impl IntoIterator<Item = EndpointInfo>) -> Self {
        let mut groups: BTreeMap<GroupKey, Vec<Member>> = BTreeMap::new();
        for e in endpoints {
            let member = Member(e.id, e.address, e.leaving, e.cold_left, e.born);
            groups.entry((e.service, e.domain, e.version, e.slots)).or_default().push(member);
        }
        Self(groups.into_iter().collect())
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(_, members)| members.len()).sum()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Lists the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointInfo> {
        self.0.iter().flat_map(|((service, domain, version, slots), members)| {
            members.iter().map(|Member(id, address, leaving, cold_left, born)| EndpointInfo {
                id: id.clone(),
                service: service.clone(),
                address: *address,
                domain: domain.clone(),
                slots: *slots,
                leaving: *leaving,
                cold_left: *cold_left,
                version: version.clone(),
                born: *born,
            })
        })
    }
}
