//! The platform's store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::door::{Door, Fault};
use super::message::Message;

/// Objects on one page.
const PAGE: usize = 3;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    content: Value,
    status: Value,
}

impl Object {
    fn written(&self, name: &str) -> Value {
        let metadata = json!({ "name": name, "revision": self.revision, "created": self.created,
            "finalizers": [], "deletion_time": false });
        json!({ "metadata": metadata, "specification": self.content, "status": self.status })
    }
}

type Objects = BTreeMap<(String, String), Object>;

#[derive(Debug, Clone)]
struct ChangedObject {
    kind: String,
    name: String,
    object: Object,
    is_gone: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: Objects,
    changes: Vec<ChangedObject>,
    forgotten: u64,
    calls: u64,
    lagging: Option<Listed>,
}

/// Objects at a revision.
#[derive(Debug, Clone, Default)]
struct Listed {
    revision: u64,
    objects: Objects,
}

impl State {
    fn listed(&self) -> Listed {
        Listed { revision: self.revision, objects: self.objects.clone() }
    }
}

/// The platform's store. Nothing in it expires by itself.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    news: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// Makes an empty store.
    pub fn new() -> Self {
        let state = State { revision: 1, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), news: watch::Sender::new(1) }
    }

    /// Answers listings that may lag as of now, whatever changes later.
    pub fn lag(&self) {
        let mut state = self.state();
        state.lagging = Some(state.listed());
    }

    /// Opens a way into the store.
    pub async fn door(&self) -> anyhow::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("bind a door")?;
        let door = Door::new(listener.local_addr()?);
        let (store, opened) = (self.clone(), door.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, door) = (store.clone(), opened.clone());
                tokio::spawn(async move { store.serve(stream, &door).await });
            }
        });
        Ok(door)
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.change(kind, name, Some(content));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Drops the history, so that older watches are told so.
    pub fn forget(&self) {
        let mut state = self.state();
        state.forgotten = state.revision;
        state.changes.clear();
        drop(state);
        self.news.send_modify(|n| *n += 1);
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the status of an object; null if it has none.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map_or(Value::Null, |o| o.status.clone())
    }

    fn change(&self, kind: &str, name: &str, content: Option<Value>) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let is_gone = content.is_none();
        let old = state.objects.remove(&key);
        let object = Object {
            revision,
            created: old.as_ref().map_or(revision, |o| o.created),
            content: content.unwrap_or(Value::Null),
            status: old.map_or(Value::Null, |o| o.status),
        };
        if !is_gone {
            state.objects.insert(key, object.clone());
        }
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.changes.push(ChangedObject { kind, name, object, is_gone });
        drop(state);
        self.news.send_replace(revision);
    }

    /// Replaces an object's status if it still has the revision.
    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let newest = state.revision + 1;
        let Some(object) = state.objects.get_mut(&key) else { return (404, Value::Null) };
        let condition = body["metadata"]["revision"].as_u64();
        if condition.is_some_and(|revision| revision != object.revision) {
            return (409, object.written(name));
        }
        object.status = body["status"].clone();
        object.revision = newest;
        let object = object.clone();
        let written = object.written(name);
        state.revision = newest;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.changes.push(ChangedObject { kind, name, object, is_gone: false });
        drop(state);
        self.news.send_replace(newest);
        (200, written)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream, door: &Door) {
        let Ok(Some(mut request)) = Message::read_head(&mut stream).await else { return };
        if !request.read_body(&mut stream).await {
            return;
        }
        self.state().calls += 1;
        let (status, body) = match door.fault() {
            Fault::None => self.answer(&request, door).await,
            Fault::Refuse => (503, Value::Null),
            Fault::Silent => std::future::pending().await,
            Fault::Slow(time) => {
                sleep(time).await;
                self.answer(&request, door).await
            }
            Fault::Lost => return,
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        // The instance may have given the call up.
        drop(stream.write_all((head + &body).as_bytes()).await);
    }

    async fn answer(&self, request: &Message, door: &Door) -> (u16, Value) {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.strip_prefix("/nutmeggrade/objects/").unwrap_or_default();
        if method == "PUT"
            && let Some((kind, name)) = kind.strip_suffix("/status").and_then(|k| k.split_once('/'))
        {
            return self.put_status(kind, name, &request.body);
        }
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        if let Some(since) = query.get("watcher").and_then(|w| w.parse().ok()) {
            let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait), door).await;
        }
        let after = query.get("after").copied().unwrap_or_default();
        self.list(kind, after, query.contains_key("allow_stale"))
    }

    fn list(&self, kind: &str, after: &str, may_lag: bool) -> (u16, Value) {
        let state = self.state();
        let lagging = state.lagging.clone().filter(|_| may_lag);
        let listed = lagging.unwrap_or_else(|| state.listed());
        let of_kind = listed.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut entries: Vec<Value> =
            of_kind.map(|((_, name), object)| object.written(name)).collect();
        let has_more = entries.len() > PAGE;
        entries.truncate(PAGE);
        (200, json!({ "entries": entries, "has_more": has_more, "at": listed.revision }))
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration, door: &Door) -> (u16, Value) {
        let mut news = self.news.subscribe();
        let found = async {
            loop {
                if let Some(answer) = self.changes(kind, since) {
                    return answer;
                }
                if news.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let answer = timeout(wait, found).await;
        if door.fault() == Fault::Silent {
            std::future::pending::<()>().await;
        }
        let at = self.state().revision;
        answer.unwrap_or_else(|_| (200, json!({ "events": [], "at": at })))
    }

    fn changes(&self, kind: &str, since: u64) -> Option<(u16, Value)> {
        let state = self.state();
        if since < state.forgotten {
            return Some((410, Value::Null));
        }
        let later = state.changes.iter().filter(|c| c.object.revision > since && c.kind == kind);
        let event = |c: &ChangedObject| {
            json!({ "deleted": c.is_gone,
            "resource_object": c.object.written(&c.name) })
        };
        let events: Vec<Value> = later.map(event).collect();
        (!events.is_empty()).then(|| (200, json!({ "events": events, "at": state.revision })))
    }
}
