//! In-memory versioned object store.

use std::collections::BTreeMap;

use nutmeggrade_core::object::{Changes, Object};
use serde_json::Value;

#[derive(Debug, Clone)]
struct StoredObject {
    version: u64,
    revision: u64,
    value: Option<Value>,
}

/// A versioned object store; the version of a removed object is kept for its successor.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
}

impl Store {
    /// Returns an object if it exists.
    pub fn read(&self, key: &str) -> Option<Object> {
        let stored = self.objects.get(key).filter(|s| s.value.is_some())?;
        Some(to_object(key, stored))
    }

    /// Writes the object if its version is `expected`, where 0 means absent; `None` removes it.
    pub fn write(&mut self, key: &str, expected: u64, value: Option<Value>) -> Option<Object> {
        let old = self.objects.get(key);
        let current_version = old.filter(|s| s.value.is_some()).map_or(0, |s| s.version);
        if current_version != expected {
            return None;
        }
        self.revision += 1;
        let version = old.map_or(0, |s| s.version) + 1;
        let stored = StoredObject { version, revision: self.revision, value };
        let written = to_object(key, &stored);
        self.objects.insert(key.to_owned(), stored);
        Some(written)
    }

    /// Lists at most `limit` existing objects under a prefix whose keys follow `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Changes {
        let objects =
            self.with_prefix(prefix).filter(|(k, s)| k.as_str() > after && s.value.is_some());
        let objects = objects.take(limit).map(|(k, s)| to_object(k, s)).collect();
        Changes { revision: self.revision, objects }
    }

    /// Lists the first `limit` changes under a prefix after a revision, including removals.
    pub fn since(&self, prefix: &str, revision: u64, limit: usize) -> Changes {
        let mut changed: Vec<_> =
            self.with_prefix(prefix).filter(|(_, s)| s.revision > revision).collect();
        changed.sort_by_key(|(_, s)| s.revision);
        let truncated = changed.len() > limit;
        changed.truncate(limit);
        let last = changed.last().map(|(_, s)| s.revision);
        let revision = last.filter(|_| truncated).unwrap_or(self.revision);
        let objects = changed.into_iter().map(|(k, s)| to_object(k, s)).collect();
        Changes { revision, objects }
    }

    fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredObject)> {
        self.objects.range(prefix.to_owned()..).take_while(move |(k, _)| k.starts_with(prefix))
    }
}

fn to_object(key: &str, stored: &StoredObject) -> Object {
    Object { key: key.to_owned(), version: stored.version, value: stored.value.clone() }
}
