//! A server of a plain service.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);
/// Reads in a second of a server that reads slowly.
const READS_PER_S: u32 = 20;

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
    address: SocketAddr,
    read_rate: Option<usize>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Desk {
    /// Starts a server on a free loopback port and registers it.
    pub fn start(id: &str, store: &Store, record: &Record) -> Result<Self, String> {
        Self::start_reading(id, None, store, record)
    }

    /// Starts a server like [`Self::start`] that reads at most this many bytes of a body in a second.
    pub fn start_reading(
        id: &str,
        read_rate: Option<usize>,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("{id}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("{id}: {e}"))?;
        let (id, runs, record) = (id.to_owned(), Arc::default(), record.clone());
        let desk = Self { id, address, read_rate, runs, record };
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
             \"slots\":24,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\
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
            if !self.read(&mut reader, &head) {
                return;
            }
            let response = self.answer(&head);
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Reads a request's body; returns whether it is complete.
    fn read(&self, reader: &mut BufReader<TcpStream>, head: &Head) -> bool {
        let length = head.get("content-length").and_then(|length| length.parse::<usize>().ok());
        let Some((rate, length)) = self.read_rate.zip(length) else {
            return read_body(reader, head, false).1;
        };
        let mut part = vec![0; (rate / READS_PER_S as usize).max(1)];
        let mut left = length;
        while left > 0 {
            let wanted = left.min(part.len());
            if reader.read_exact(&mut part[..wanted]).is_err() {
                return false;
            }
            left -= wanted;
            thread::sleep(Duration::from_secs(1) / READS_PER_S);
        }
        true
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
