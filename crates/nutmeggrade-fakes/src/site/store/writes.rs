//! Writes to the store.

use serde_json::Value;

use super::{Object, Store};

impl Store {
    /// Replaces an object's status if the request names its current revision or none.
    pub(super) fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some(old) = state.objects.get(&key).cloned() else { return (404, Value::Null) };
        let expected = body["metadata"]["revision"].as_u64();
        if expected.is_some_and(|revision| revision != old.revision) {
            return (409, old.to_json(name));
        }
        let (revision, status) = (state.revision + 1, body["status"].clone());
        let response = state.write(kind, name, Object { revision, status, ..old });
        drop(state);
        self.changed.send_replace(revision);
        (200, response)
    }

    /// Creates an object that doesn't exist.
    pub(super) fn post(&self, kind: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(name) = body["metadata"]["name"].as_str() else { return (400, Value::Null) };
        let mut state = self.state();
        if state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
            return (409, Value::Null);
        }
        let revision = state.revision + 1;
        let content = body["specification"].clone();
        let object = Object { content, ..Object::new(revision) };
        let response = state.write(kind, name, object);
        drop(state);
        self.changed.send_replace(revision);
        (200, response)
    }

    /// Replaces an object's specification if the request names its current revision or none.
    pub(super) fn put_content(&self, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some(old) = state.objects.get(&key).cloned() else { return (404, Value::Null) };
        let expected = body["metadata"]["revision"].as_u64();
        if expected.is_some_and(|revision| revision != old.revision) {
            return (409, old.to_json(name));
        }
        let content = body["specification"].clone();
        if content == old.content {
            return (200, old.to_json(name));
        }
        let revision = state.revision + 1;
        let response = state.write(kind, name, Object { revision, content, raw: None, ..old });
        drop(state);
        self.changed.send_replace(revision);
        (200, response)
    }
}
