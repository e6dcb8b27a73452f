//! Objects of the store that can't be read.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::Unreadable;

use super::Node;
use crate::tables::lock;

/// Most objects that are remembered as reported. Of more, some are reported at each read.
const MAX_REPORTED: usize = 4_096;
/// Longest error that is logged, in characters; an error may quote an object of a megabyte.
const MAX_ERROR_CHARS: usize = 200;

/// Revisions of the objects that were reported as unreadable.
#[derive(Debug, Default)]
pub struct ReportedObjects(BTreeMap<(Kind, String), u64>);

impl ReportedObjects {
    /// Remembers an object; returns whether this revision of it is new.
    fn insert(&mut self, kind: Kind, object: &Unreadable) -> bool {
        let previous = self.0.insert((kind, object.name.clone()), object.revision);
        if self.0.len() > MAX_REPORTED {
            let oldest = self.0.iter().min_by_key(|(_, revision)| **revision);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.0.remove(&key);
            }
        }
        previous != Some(object.revision)
    }
}

impl Node {
    /// Counts and logs an object that can't be read, once for each of its revisions.
    pub fn report_unreadable(&self, kind: Kind, object: &Unreadable, error: &anyhow::Error) {
        if !lock(&self.reported_objects).insert(kind, object) {
            return;
        }
        self.metrics.unreadable_objects.with_label_values(&[kind.name()]).inc();
        let Unreadable { name, revision, .. } = object;
        let error: String = format!("{error:#}").chars().take(MAX_ERROR_CHARS).collect();
        match kind {
            Kind::Config => tracing::error!(event = "config_unreadable", name, revision, error),
            Kind::Endpoints => {
                tracing::warn!(event = "endpoint_unreadable", name, revision, error);
            }
            Kind::Evacuations => {
                tracing::warn!(event = "domain_unreadable", name, revision, error);
            }
            Kind::Rollouts => {
                let code = Code::BadRollout;
                tracing::warn!(
                    event = "rollout_unreadable",
                    service = name,
                    code = code.number(),
                    name = code.name(),
                    revision,
                    error
                );
            }
        }
    }
}
