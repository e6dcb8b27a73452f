//! A server of a plain service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it began, since the start of the case.
    pub at: Duration,
    pub id: String,
}

/// A server of a plain service.
#[derive(Clone)]
pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Desk {
    /// Starts a server on a free loopback port and registers it.
    pub fn start(id: &str, store: &Store, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("{id}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("{id}: {e}"))?;
        let (id, runs, record) = (id.to_owned(), Arc::default(), record.clone());
        let desk = Self { id, address, runs, record };
        desk.register(store, "ready");
        let serving = desk.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let desk = serving.clone();
                thread::spawn(move || desk.serve(stream));
            }
        });
        Ok(desk)
    }

    /// Writes the server's entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"veluwe\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":1790000000000}}",
            self.address
        );
        store.put("servers", &self.id, &entry);
        self.record.line(&format!("store acknowledged server {} as {state}", self.id));
    }

    /// Returns what the server has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(head) = read_head(&mut reader) {
            let (_, is_whole) = read_body(&mut reader, &head, false);
            if !is_whole {
                return;
            }
            let response = self.answer(&head);
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> String {
        if head.first.contains(" /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Nutmeggrade-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        if head.get("x-nutmeggrade-expected-instance").is_some_and(|id| id != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Nutmeggrade-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
        }
        let Some(id) = head.get("x-nutmeggrade-attempt-id") else {
            return "HTTP/1.1 400 Bad Request\r\nX-Nutmeggrade-Not-Executed: 1\r\n\
                    Content-Length: 0\r\n\r\n"
                .to_owned();
        };
        let tenant = head.get("x-nutmeggrade-tenant-name").unwrap_or("-");
        self.record.line(&format!("server {} runs {id}, tenant {tenant}", self.id));
        let run = Run { at: self.record.now(), id: id.to_owned() };
        self.runs.lock().unwrap().push(run);
        thread::sleep(WORK);
        let body = format!("done {id}");
        format!(
            "HTTP/1.1 200 OK\r\nX-Nutmeggrade-Attempt-Id: {id}\r\n\
             X-Nutmeggrade-Server-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}
