//! The platform's object store.

mod writes;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::message::Message;
use super::raw_texts::{RawPart, RawTexts, unescape};
use super::store_listener::{Fault, StoreListener};

/// Maximum number of objects on one page of a listing.
const PAGE_SIZE: usize = 3;

/// Parts of a throttled response that are sent in a second.
const PARTS_PER_SECOND: u32 = 20;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    content: Value,
    status: Value,
    /// What another program wrote in place of the object and its metadata.
    raw: Option<Value>,
}

impl Object {
    const fn new(created: u64) -> Self {
        Self { revision: created, created, content: Value::Null, status: Value::Null, raw: None }
    }

    fn to_json(&self, name: &str) -> Value {
        if let Some(raw) = &self.raw {
            return raw.clone();
        }
        let metadata = json!({ "name": name, "revision": self.revision, "created": self.created,
            "finalizers": [], "deletion_time": false });
        json!({ "metadata": metadata, "specification": self.content, "status": self.status })
    }
}

type Objects = BTreeMap<(String, String), Object>;

#[derive(Debug, Clone)]
struct ObjectChange {
    kind: String,
    name: String,
    object: Object,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: Objects,
    changes: Vec<ObjectChange>,
    /// Revision up to which the change history was dropped.
    dropped_revision: u64,
    call_count: u64,
    /// By kind of object: how often a watch was begun.
    watch_counts: BTreeMap<String, u64>,
    raw_texts: RawTexts,
    /// Fixed response to listings that may be stale.
    stale_snapshot: Option<Snapshot>,
}

/// All objects at a revision.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    revision: u64,
    objects: Objects,
}

impl State {
    fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, objects: self.objects.clone() }
    }

    /// Stores an object with its new revision, which becomes the store's; returns it encoded.
    fn write(&mut self, kind: &str, name: &str, object: Object) -> Value {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let response = object.to_json(&name);
        self.revision = object.revision;
        self.objects.insert((kind.clone(), name.clone()), object.clone());
        self.changes.push(ObjectChange { kind, name, object, is_deleted: false });
        response
    }
}

/// The platform's object store. Objects don't expire.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        let state = State { revision: 1, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(1) }
    }

    /// Serves the current objects to listings that may be stale, regardless of later changes.
    pub fn freeze_stale_listings(&self) {
        let mut state = self.state();
        state.stale_snapshot = Some(state.snapshot());
    }

    /// Opens a listener on a free local port.
    pub async fn open_listener(&self) -> anyhow::Result<StoreListener> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("bind a store listener")?;
        let store_listener = StoreListener::new(listener.local_addr()?);
        let (store, opened) = (self.clone(), store_listener.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, store_listener) = (store.clone(), opened.clone());
                tokio::spawn(async move { store.serve(stream, &store_listener).await });
            }
        });
        Ok(store_listener)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.change(kind, name, false, |object| object.content = content);
    }

    /// Creates or replaces an object of which another program wrote a part, as these bytes.
    pub fn put_raw(&self, kind: &str, name: &str, part: RawPart, text: &[u8]) {
        let marker = self.state().raw_texts.add(text);
        self.change(kind, name, false, |object| match part {
            RawPart::Object => object.raw = Some(marker),
            RawPart::Specification => object.content = marker,
            RawPart::Status => object.status = marker,
        });
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, true, |object| object.content = Value::Null);
    }

    /// Drops the change history: a watch from an older revision gets 410.
    pub fn drop_history(&self) {
        let mut state = self.state();
        state.dropped_revision = state.revision;
        state.changes.clear();
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        self.state().call_count
    }

    /// Returns the number of watches of a kind that were begun.
    pub fn watches(&self, kind: &str) -> u64 {
        self.state().watch_counts.get(kind).copied().unwrap_or_default()
    }

    /// Returns the specification of an object, or null.
    pub fn content(&self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map_or(Value::Null, |o| o.content.clone())
    }

    /// Returns the status of an object, or null.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map_or(Value::Null, |o| o.status.clone())
    }

    fn change(&self, kind: &str, name: &str, is_deleted: bool, edit: impl FnOnce(&mut Object)) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let mut object = state.objects.remove(&key).unwrap_or_else(|| Object::new(revision));
        (object.revision, object.raw) = (revision, None);
        edit(&mut object);
        if !is_deleted {
            state.objects.insert(key, object.clone());
        }
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.changes.push(ObjectChange { kind, name, object, is_deleted });
        drop(state);
        self.changed.send_replace(revision);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream, store_listener: &StoreListener) {
        let Ok(Some(mut request)) = Message::read_head(&mut stream).await else { return };
        if !request.read_body(&mut stream).await {
            return;
        }
        self.state().call_count += 1;
        let kind = requested_kind(&request).to_owned();
        let losses = store_listener.losses(&kind);
        let (status, mut body) = match store_listener.fault() {
            Fault::SilentWatches if is_watch(&request) => std::future::pending().await,
            Fault::None | Fault::Throttled(_) | Fault::SilentWatches => {
                self.handle(&request, store_listener).await
            }
            Fault::Refuse => (503, Value::Null),
            Fault::Silent => std::future::pending().await,
            Fault::Slow(time) => {
                sleep(time).await;
                self.handle(&request, store_listener).await
            }
            Fault::SlowChanges(time) => {
                let (status, body) = self.handle(&request, store_listener).await;
                let changes = body["events"].as_array().map_or(0, Vec::len);
                sleep(time.saturating_mul(u32::try_from(changes).unwrap_or(u32::MAX))).await;
                (status, body)
            }
            Fault::DropResponse => return,
        };
        if store_listener.losses(&kind) != losses {
            std::future::pending::<()>().await;
        }
        store_listener.replace_addresses(&mut body);
        let body = self.state().raw_texts.replace_markers(&body.to_string());
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let response = [head.into_bytes(), body].concat();
        // The instance may have cancelled the call.
        drop(match store_listener.fault() {
            Fault::Throttled(rate) => send_throttled(&mut stream, &response, rate).await,
            _ => stream.write_all(&response).await,
        });
    }

    async fn handle(&self, request: &Message, store_listener: &StoreListener) -> (u16, Value) {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.strip_prefix("/nutmeggrade/objects/").unwrap_or_default();
        if method == "PUT"
            && let Some((kind, name)) = kind.strip_suffix("/status").and_then(|k| k.split_once('/'))
        {
            let name = String::from_utf8_lossy(&unescape(name)).into_owned();
            return self.put_status(kind, &name, &request.body);
        }
        match (method, kind.split_once('/')) {
            ("POST", None) => return self.post(kind, &request.body),
            ("PUT", Some((kind, name))) => return self.put_content(kind, name, &request.body),
            _ => {}
        }
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        if let Some(since) = query.get("watcher").and_then(|w| w.parse().ok()) {
            let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait), store_listener).await;
        }
        let after = query.get("after").copied().map(unescape).unwrap_or_default();
        self.list(kind, &after, query.contains_key("allow_stale"))
    }

    fn list(&self, kind: &str, after: &[u8], allow_stale: bool) -> (u16, Value) {
        let state = self.state();
        let stale_snapshot = state.stale_snapshot.clone().filter(|_| allow_stale);
        let snapshot = stale_snapshot.unwrap_or_else(|| state.snapshot());
        let of_kind =
            snapshot.objects.iter().filter(|((k, n), _)| k == kind && n.as_bytes() > after);
        let mut entries: Vec<Value> =
            of_kind.map(|((_, name), object)| object.to_json(name)).collect();
        let has_more = entries.len() > PAGE_SIZE;
        entries.truncate(PAGE_SIZE);
        (200, json!({ "entries": entries, "has_more": has_more, "at": snapshot.revision }))
    }

    async fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        store_listener: &StoreListener,
    ) -> (u16, Value) {
        *self.state().watch_counts.entry(kind.to_owned()).or_default() += 1;
        let mut changed = self.changed.subscribe();
        let next_changes = async {
            loop {
                if let Some(response) = self.changes(kind, since) {
                    return response;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let response = timeout(wait, next_changes).await;
        if store_listener.fault() == Fault::Silent {
            std::future::pending::<()>().await;
        }
        let at = self.state().revision;
        response.unwrap_or_else(|_| (200, json!({ "events": [], "at": at })))
    }

    fn changes(&self, kind: &str, since: u64) -> Option<(u16, Value)> {
        let state = self.state();
        if since < state.dropped_revision {
            return Some((410, Value::Null));
        }
        let later = state.changes.iter().filter(|c| c.object.revision > since && c.kind == kind);
        let event = |c: &ObjectChange| {
            json!({ "deleted": c.is_deleted,
            "resource_object": c.object.to_json(&c.name) })
        };
        let events: Vec<Value> = later.map(event).collect();
        (!events.is_empty()).then(|| (200, json!({ "events": events, "at": state.revision })))
    }
}

/// Returns the kind of object that a call is about.
fn requested_kind(request: &Message) -> &str {
    let (_, target) = request.request();
    let path = target.strip_prefix("/nutmeggrade/objects/").unwrap_or_default();
    path.split(['/', '?']).next().unwrap_or_default()
}

fn is_watch(request: &Message) -> bool {
    request.request().1.contains("watcher=")
}

/// Sends bytes at a number of bytes a second.
async fn send_throttled(stream: &mut TcpStream, bytes: &[u8], rate: usize) -> std::io::Result<()> {
    let part_bytes = (rate / PARTS_PER_SECOND as usize).max(1);
    for part in bytes.chunks(part_bytes) {
        stream.write_all(part).await?;
        sleep(Duration::from_secs(1) / PARTS_PER_SECOND).await;
    }
    Ok(())
}
