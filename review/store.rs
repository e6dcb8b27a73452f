//! The platform's store: lists, and watches from a revision. The operator and the servers write to it
//! by calls within this process, and a call that returns is the store's acknowledgement.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_head;

/// Objects on a page of a listing.
const PAGE_SIZE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    /// The specification of each object as its writer wrote it, with its revision.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Kind, revision and event of each change.
    changes: Vec<(String, u64, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("store: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("store: {e}"))?;
        let state = State { revision: 1, ..State::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object; `specification` is the text that its writer sent.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, specification.to_owned()));
        let event = format!(
            "{{\"deleted\":false,\"resource_object\":{}}}",
            object(name, revision, specification)
        );
        state.changes.push((kind.to_owned(), revision, event));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(head) = read_head(&mut reader) {
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let kind = path.strip_prefix("/nutmeggrade/objects/").unwrap_or_default();
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|p| p.split_once('=')).collect();
            let body = match query.get("watcher").and_then(|w| w.parse().ok()) {
                Some(since) => {
                    let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => self.list(kind, query.get("after").copied().unwrap_or_default()),
            };
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut entries: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let has_more = entries.len() > PAGE_SIZE;
        entries.truncate(PAGE_SIZE);
        let (entries, at) = (entries.join(","), state.revision);
        format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"at\":{at}}}")
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let later = state.changes.iter().filter(|(k, r, _)| k == kind && *r > since);
            let events: Vec<&str> = later.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"at\":{at}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, specification: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deletion_time\":false}},\"specification\":{specification},\
         \"status\":null}}"
    )
}
