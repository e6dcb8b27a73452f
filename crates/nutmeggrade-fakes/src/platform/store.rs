//! Objects with versions, in memory.

use std::collections::BTreeMap;

use nutmeggrade_core::object::{Changes, Object};
use serde_json::Value;

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    revision: u64,
    value: Option<Value>,
}

/// A versioned object store; a removed object leaves its version behind.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<String, Stored>,
}

impl Store {
    /// Reads an object that exists.
    pub fn read(&self, key: &str) -> Option<Object> {
        let stored = self.objects.get(key).filter(|s| s.value.is_some())?;
        Some(object(key, stored))
    }

    /// Writes if the object's version is `expected`; version 0 means absent. `None` removes it.
    pub fn write(&mut self, key: &str, expected: u64, value: Option<Value>) -> Option<Object> {
        let old = self.objects.get(key);
        let found = old.filter(|s| s.value.is_some()).map_or(0, |s| s.version);
        if found != expected {
            return None;
        }
        self.revision += 1;
        let version = old.map_or(0, |s| s.version) + 1;
        let stored = Stored { version, revision: self.revision, value };
        let made = object(key, &stored);
        self.objects.insert(key.to_owned(), stored);
        Some(made)
    }

    /// Lists at most `limit` of what exists under a prefix, with keys after `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Changes {
        let objects = self.under(prefix).filter(|(k, s)| k.as_str() > after && s.value.is_some());
        let objects = objects.take(limit).map(|(k, s)| object(k, s)).collect();
        Changes { revision: self.revision, objects }
    }

    /// Lists the first `limit` changes under a prefix after a revision, removed objects included.
    pub fn since(&self, prefix: &str, revision: u64, limit: usize) -> Changes {
        let mut changed: Vec<_> =
            self.under(prefix).filter(|(_, s)| s.revision > revision).collect();
        changed.sort_by_key(|(_, s)| s.revision);
        let cut = changed.len() > limit;
        changed.truncate(limit);
        let last = changed.last().map(|(_, s)| s.revision);
        let revision = last.filter(|_| cut).unwrap_or(self.revision);
        let objects = changed.into_iter().map(|(k, s)| object(k, s)).collect();
        Changes { revision, objects }
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Stored)> {
        self.objects.range(prefix.to_owned()..).take_while(move |(k, _)| k.starts_with(prefix))
    }
}

fn object(key: &str, stored: &Stored) -> Object {
    Object { key: key.to_owned(), version: stored.version, value: stored.value.clone() }
}
