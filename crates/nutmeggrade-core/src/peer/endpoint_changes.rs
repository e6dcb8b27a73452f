//! Changes of endpoints that store readers forward to their peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::EndpointGroups;
use crate::id::EndpointId;
use crate::routing::EndpointInfo;

/// Encoded size of an entry beside the endpoint's name, in bytes. The names that a group of entries
/// has in common are counted for each.
const ENTRY_BYTES: usize = 64;
/// Encoded size of a notice that an endpoint leaves or is gone beside its name, in bytes.
const NOTICE_BYTES: usize = 16;

/// Change of an endpoint's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint's new entry.
    Entry(EndpointInfo),
    /// The endpoint's process that started at this time, in Unix milliseconds, shuts down.
    Leaving(EndpointId, u64),
    /// The entry was removed, or can't be parsed.
    Gone(EndpointId),
}

impl EndpointChange {
    /// Returns the endpoint.
    pub const fn id(&self) -> &EndpointId {
        match self {
            Self::Entry(info) => &info.id,
            Self::Leaving(id, _) | Self::Gone(id) => id,
        }
    }
}

/// What is left of several changes of an endpoint.
#[derive(Debug, Default)]
struct Merged {
    entry: Option<EndpointInfo>,
    leaving: Option<u64>,
    gone: bool,
}

impl Merged {
    /// Adds a later change. That an endpoint leaves outlasts the loss of its entry, which may lapse
    /// during an outage and come back.
    fn add(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Entry(info) => {
                self.leaving = self.leaving.filter(|born| *born == info.born);
                self.gone = false;
                self.entry = Some(info);
            }
            EndpointChange::Leaving(_, born) => {
                self.gone = false;
                self.leaving = Some(born);
            }
            EndpointChange::Gone(_) => {
                self.gone = true;
                self.entry = None;
            }
        }
    }
}

/// Changes of endpoints, of which only the result is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChanges {
    #[serde(rename = "n")]
    entries: EndpointGroups,
    #[serde(rename = "l")]
    leaving: Vec<(EndpointId, u64)>,
    #[serde(rename = "g")]
    gone: Vec<EndpointId>,
}

impl EndpointChanges {
    /// Collects changes, in their order.
    pub fn new(changes: impl IntoIterator<Item = EndpointChange>) -> Self {
        let mut merged: BTreeMap<EndpointId, Merged> = BTreeMap::new();
        for change in changes {
            merged.entry(change.id().clone()).or_default().add(change);
        }
        let (mut entries, mut leaving, mut gone) = (Vec::new(), Vec::new(), Vec::new());
        for (id, left) in merged {
            entries.extend(left.entry);
            leaving.extend(left.leaving.map(|born| (id.clone(), born)));
            gone.extend(left.gone.then_some(id));
        }
        Self { entries: EndpointGroups::new(entries), leaving, gone }
    }

    /// Lists the changes in an order that has the same result.
    pub fn iter(&self) -> impl Iterator<Item = EndpointChange> {
        let entries = self.entries.endpoints().map(EndpointChange::Entry);
        let leaving =
            self.leaving.iter().map(|(id, born)| EndpointChange::Leaving(id.clone(), *born));
        entries.chain(leaving).chain(self.gone.iter().cloned().map(EndpointChange::Gone))
    }

    /// Returns the number of changes.
    pub fn len(&self) -> usize {
        self.entries.len() + self.leaving.len() + self.gone.len()
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn max_bytes(&self) -> usize {
        let bytes = |change: EndpointChange| {
            let fixed = match &change {
                EndpointChange::Entry(info) => {
                    let version = info.version.as_ref().map_or(0, |v| v.as_str().len());
                    ENTRY_BYTES + info.service.as_str().len() + info.domain.as_str().len() + version
                }
                EndpointChange::Leaving(..) | EndpointChange::Gone(_) => NOTICE_BYTES,
            };
            fixed + change.id().as_str().len()
        };
        self.iter().map(bytes).sum()
    }
}

/// All changes of endpoints between two revisions of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdateBatch {
    /// Revision that a receiver must have reached for the changes to be complete.
    pub since: u64,
    /// Revision after the changes.
    pub revision: u64,
    /// Whether removed entries may merely have expired during a store outage.
    pub lapses: bool,
    /// The changes.
    pub changes: EndpointChanges,
}

/// What an instance sends a peer that has read the endpoints up to an older revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointsReply {
    /// The changes since the peer's revision.
    Changes(EndpointUpdateBatch),
    /// All endpoints, since the changes are not known or more than there are endpoints.
    All {
        /// Revision of the latest change.
        revision: u64,
        /// Whether missing endpoints may only have expired during a store outage.
        lapses: bool,
        /// All registered endpoints.
        endpoints: EndpointGroups,
    },
}

impl EndpointsReply {
    /// Encodes the reply without field names, which would be most of it.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no reply.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
