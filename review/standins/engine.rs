//! A model server that reads prompts and makes events at the sheet's pace.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Tokens in an event of a stream.
pub const EVENT_TOKENS: u64 = 4;
/// Prompt tokens that are read in a millisecond.
const READ_PER_MS: u64 = 14;
/// Time that a server needs for an event: a step of 7 ms for each token.
const EVENT_TIME: Duration = Duration::from_millis(28);
/// Requests that run at once.
const SLOTS: u32 = 24;
/// Memory for prompts and outputs, in tokens.
const MEMORY: u64 = 34_206;

/// A model server.
#[derive(Clone)]
pub struct Engine {
    id: String,
    active: Arc<AtomicU32>,
    begun: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Engine {
    /// Starts a server on a free loopback port and registers it.
    pub fn start(id: &str, store: &Store, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("{id}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("{id}: {e}"))?;
        let (id, record) = (id.to_owned(), record.clone());
        let (active, begun) = (Arc::default(), Arc::default());
        let engine = Self { id, active, begun, record };
        let entry = format!(
            "{{\"service\":\"writers\",\"address\":\"{address}\",\"zone\":\"veluwe\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"phase\":\"combined\",\"model_list\":[{{\"name\":\"m\",\"version\":1,\
             \"lora_adapters\":[]}}],\"sequence\":1,\"born\":1790000000000}}"
        );
        store.put("servers", &engine.id, &entry);
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Returns whether the server has begun to run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.begun.lock().unwrap().iter().any(|begun| begun == id)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        drop(stream.set_nodelay(true));
        let mut reader = BufReader::new(reading);
        while let Some(head) = read_head(&mut reader) {
            let (_, is_whole) = read_body(&mut reader, &head, false);
            if !is_whole || self.answer(&head, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, stream: &mut TcpStream) -> std::io::Result<()> {
        let active = self.active.load(Ordering::Relaxed);
        if head.first.contains(" /health ") {
            let head = "HTTP/1.1 200 OK\r\nX-Nutmeggrade-Instance-Id: ";
            return write!(stream, "{head}{}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if head.first.contains(" /nutmeggrade/report ") {
            let body = format!(
                "{{\"phase\":\"combined\",\"model_list\":[{{\"name\":\"m\",\"version\":1,\
                 \"lora_adapters\":[]}}],\"busy\":false,\"sequence\":1,\"queued\":0,\
                 \"active\":{active},\"kv_cache_used\":0,\"kv_cache_capacity\":{MEMORY},\
                 \"cache_handles\":0,\"born\":1790000000000}}"
            );
            let length = body.len();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
            return write!(stream, "{head}{length}\r\n\r\n{body}");
        }
        if head.get("x-nutmeggrade-expected-instance").is_some_and(|id| id != self.id) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nX-Nutmeggrade-Instance-Id: ";
            return write!(stream, "{head}{}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        let counts = head.get("x-nutmeggrade-token-count").and_then(|v| v.split_once(','));
        let counts = counts.and_then(|(prompt, max)| {
            Some((prompt.trim().parse::<u64>().ok()?, max.trim().parse::<u64>().ok()?))
        });
        let (Some(id), Some((prompt, tokens))) = (head.get("x-nutmeggrade-attempt-id"), counts)
        else {
            let head = "HTTP/1.1 400 Bad Request\r\nX-Nutmeggrade-Not-Executed: 1\r\n";
            return write!(stream, "{head}Content-Length: 0\r\n\r\n");
        };
        if active >= SLOTS {
            let head = "HTTP/1.1 503 Service Unavailable\r\nX-Nutmeggrade-Not-Executed: 1\r\n";
            return write!(
                stream,
                "{head}X-Nutmeggrade-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.active.fetch_add(1, Ordering::Relaxed);
        self.begun.lock().unwrap().push(id.to_owned());
        self.record.line(&format!("server {} runs {id}", self.id));
        let reading = Duration::from_millis(prompt / READ_PER_MS);
        let result = self.stream(id, reading, tokens / EVENT_TOKENS, stream);
        let end = if result.is_ok() { "ends" } else { "is cut off in" };
        self.record.line(&format!("server {} {end} {id}", self.id));
        self.active.fetch_sub(1, Ordering::Relaxed);
        result
    }

    /// Reads the prompt, and sends the events of a request, each as a chunk of its own.
    fn stream(
        &self,
        id: &str,
        reading: Duration,
        events: u64,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Nutmeggrade-Attempt-Id: {id}\r\nX-Nutmeggrade-Server-Signature: {}.{id}\r\n\
             X-Nutmeggrade-Server-Load: {},0,{SLOTS}\r\nX-Nutmeggrade-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.active.load(Ordering::Relaxed)
        )?;
        let start = Instant::now();
        for number in 1..=events {
            let due = reading + EVENT_TIME * u32::try_from(number).unwrap_or(u32::MAX);
            thread::sleep(due.saturating_sub(start.elapsed()));
            let event = format!("id: {number}\ndata: piece {number} of {events}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(stream, "0\r\n\r\n")
    }
}
