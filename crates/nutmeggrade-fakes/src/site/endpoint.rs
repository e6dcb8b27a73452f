//! An endpoint: a model engine or a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::behaviour::Behaviour;
use super::generation::Generations;
use super::message::Message;
use super::seen::Seen;

/// Time that a first copy takes.
const COPY_TIME: Duration = Duration::from_millis(40);
const SIGNATURE: &str = "X-Nutmeggrade-Server-Signature";

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    seen: Vec<Seen>,
    leaves_ms: Option<u64>,
    open: usize,
    shown: SocketAddr,
}

/// An endpoint that does what a test wants.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    id: String,
    state: Arc<Mutex<State>>,
    generations: Generations,
    dead: watch::Sender<bool>,
}

impl Endpoint {
    /// Starts an endpoint.
    pub async fn start(
        id: &str,
        behaviour: Behaviour,
        generations: &Generations,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("bind an endpoint")?;
        let address = listener.local_addr()?;
        let state = State { behaviour, seen: Vec::new(), leaves_ms: None, open: 0, shown: address };
        let endpoint = Self {
            address,
            id: id.to_owned(),
            state: Arc::new(Mutex::new(state)),
            generations: generations.clone(),
            dead: watch::Sender::new(false),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            let mut dead = serving.dead.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = dead.wait_for(|d| *d) => return,
                };
                let Ok((stream, _)) = stream else { return };
                let endpoint = serving.clone();
                tokio::spawn(async move {
                    endpoint.state().open += 1;
                    // A connection that breaks is the instance's doing.
                    drop(endpoint.serve(stream).await);
                    endpoint.state().open -= 1;
                });
            }
        });
        Ok(endpoint)
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets what it does from now on.
    pub fn set(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Sets the address by which others know it, where that is not the one at which it listens.
    pub fn show_as(&self, address: SocketAddr) {
        self.state().shown = address;
    }

    /// Has its report say how long it stays.
    pub fn leave_in(&self, time: Duration) {
        self.state().leaves_ms = u64::try_from(time.as_millis()).ok();
    }

    /// Returns what it got.
    pub fn seen(&self) -> Vec<Seen> {
        self.state().seen.clone()
    }

    /// Has it die: it resets its streams and accepts no connection any more.
    pub fn kill(&self) {
        self.dead.send_replace(true);
    }

    /// Says whether it has crashed.
    pub fn is_dead(&self) -> bool {
        *self.dead.borrow()
    }

    /// Returns how many connections it has.
    pub fn open(&self) -> usize {
        self.state().open
    }

    /// Returns how often it began to run the request of an attempt.
    pub fn runs(&self, id: &str) -> usize {
        self.state().seen.iter().filter(|s| s.ran && s.id() == id).count()
    }

    fn shown(&self) -> SocketAddr {
        self.state().shown
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        while let Some(mut request) = Message::read_head(&mut stream).await? {
            let behaviour = self.state().behaviour;
            if behaviour == Behaviour::Deaf {
                return Ok(());
            }
            if behaviour == Behaviour::Early {
                return self.refuse(&mut stream, 400, "X-Nutmeggrade-Not-Executed: 1\r\n").await;
            }
            if !request.read_body(&mut stream).await {
                return Ok(());
            }
            let (_, target) = request.request();
            match target {
                "/nutmeggrade/report" => self.report(&mut stream).await?,
                "/health" => self.health(&mut stream).await?,
                "/nutmeggrade/kv-move" => self.copy(&mut stream, &request).await?,
                _ => self.request(&mut stream, request, behaviour).await?,
            }
        }
        Ok(())
    }

    async fn report(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        let leaves = self.state().leaves_ms;
        let mut report = json!({ "phase": "combined", "busy": false, "sequence": 1, "queued": 0,
            "active": 0, "kv_cache_used": 0, "kv_cache_capacity": 30_000, "cache_handles": 0 });
        if let Some(leaves) = leaves {
            report["leaves_ms"] = json!(leaves);
        }
        send_json(stream, 200, &report).await
    }

    async fn health(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        let head = format!("X-Nutmeggrade-Instance-Id: {}\r\nContent-Length: 0\r\n", self.id);
        send(stream, &format!("HTTP/1.1 200 -\r\n{head}\r\n")).await
    }

    async fn copy(&self, stream: &mut TcpStream, request: &Message) -> anyhow::Result<()> {
        let order: Value = serde_json::from_slice(&request.body).context("order")?;
        let id = order["id"].as_str().unwrap_or_default();
        let last = order["final"].as_bool().unwrap_or_default();
        if !last {
            self.generations.take_time(COPY_TIME).await;
        }
        match self.generations.copy(self.shown(), id, last) {
            Some(made) => {
                send_json(stream, 200, &json!({ "cache_handle": id, "created": made })).await
            }
            None => send_json(stream, 404, &Value::Null).await,
        }
    }

    async fn request(
        &self,
        stream: &mut TcpStream,
        request: Message,
        behaviour: Behaviour,
    ) -> anyhow::Result<()> {
        let expected = request.header("x-nutmeggrade-expected-instance");
        let is_other = expected.is_some_and(|e| e != self.id);
        let resumed = request.header("kv-from").map(str::to_owned);
        let copied = resumed.as_deref().map(|from| self.take_up(from));
        let ran = !is_other
            && copied != Some(None)
            && !matches!(behaviour, Behaviour::Shed | Behaviour::Misdirect);
        let id = request.header("x-nutmeggrade-attempt-id").unwrap_or_default().to_owned();
        let position = request.header("last-event-id").and_then(|p| p.parse().ok()).unwrap_or(0);
        self.state().seen.push(Seen { message: request, ran, at: Instant::now() });
        if is_other {
            return self.refuse(stream, 421, "").await;
        }
        if copied == Some(None) {
            return self.refuse(stream, 503, "X-Nutmeggrade-Not-Executed: 1\r\n").await;
        }
        self.behave(stream, &id, position, behaviour).await
    }

    fn take_up(&self, from: &str) -> Option<u64> {
        let (source, handle) = from.split_once('/')?;
        self.generations.take_up(source.parse().ok()?, handle)
    }

    async fn behave(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        behaviour: Behaviour,
    ) -> anyhow::Result<()> {
        let body = format!("done {id} by {}", self.id);
        let whole = self.answer(200, id, &format!("Content-Length: {}\r\n", body.len()), &body);
        match behaviour {
            Behaviour::Answer => send(stream, &whole).await,
            Behaviour::Slow(time) => {
                sleep(time).await;
                send(stream, &whole).await
            }
            Behaviour::Shed => self.refuse(stream, 503, "X-Nutmeggrade-Not-Executed: 1\r\n").await,
            Behaviour::Misdirect => self.refuse(stream, 421, "").await,
            Behaviour::Fail => {
                send(stream, &self.answer(500, id, "Content-Length: 4\r\n", "oops")).await
            }
            Behaviour::Close | Behaviour::Deaf => anyhow::bail!("closed"),
            Behaviour::Crash => {
                self.dead.send_replace(true);
                anyhow::bail!("crashed")
            }
            Behaviour::Truncate => {
                send(stream, &whole[..whole.len() - 3]).await?;
                anyhow::bail!("truncated")
            }
            Behaviour::Unframed => {
                send(stream, &self.answer(200, id, "Connection: close\r\n", &body)).await?;
                anyhow::bail!("ended")
            }
            Behaviour::UnframedReset => {
                send(stream, &self.answer(200, id, "Connection: close\r\n", &body[..4])).await?;
                reset(stream)
            }
            Behaviour::Extra => send(stream, &(whole.clone() + &whole)).await,
            Behaviour::Crossed => {
                let other = self.answer(200, "another", "Content-Length: 5\r\n", "wrong");
                send(stream, &other).await
            }
            Behaviour::Unsigned => {
                let head = format!("X-Nutmeggrade-Attempt-Id: {id}\r\nContent-Length: 4\r\n");
                send(stream, &format!("HTTP/1.1 200 OK\r\n{head}\r\nfake")).await
            }
            Behaviour::Early => anyhow::bail!("answered before"),
            Behaviour::Hang => {
                // Nothing comes any more but the end.
                let mut rest = [0];
                drop(stream.read(&mut rest).await);
                anyhow::bail!("given up")
            }
            Behaviour::Stream { events, pause } => {
                self.stream(stream, id, position, events, pause).await
            }
            Behaviour::StreamCut { events } => {
                self.open_stream(stream, id).await?;
                for event in position + 1..=events {
                    send_event(stream, id, event).await?;
                }
                send(stream, "9\r\nid: 77\nda").await?;
                sleep(Duration::from_millis(50)).await;
                reset(stream)
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        events: u64,
        pause: Duration,
    ) -> anyhow::Result<()> {
        self.open_stream(stream, id).await?;
        let mut stopped = self.generations.begin(self.shown(), id);
        let mut dead = self.dead.subscribe();
        for event in position + 1..=events {
            tokio::select! {
                () = sleep(pause) => {}
                _ = dead.wait_for(|d| *d) => return reset(stream),
                _ = stopped.wait_for(|s| *s) => {
                    self.generations.end(self.shown(), id);
                    anyhow::bail!("stopped");
                }
            }
            send_event(stream, id, event).await?;
            self.generations.made(self.shown(), id, event);
        }
        self.generations.end(self.shown(), id);
        send(stream, "0\r\n\r\n").await
    }

    async fn open_stream(&self, stream: &mut TcpStream, id: &str) -> anyhow::Result<()> {
        let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        send(stream, &self.answer(200, id, headers, "")).await
    }

    fn answer(&self, status: u16, id: &str, headers: &str, body: &str) -> String {
        format!(
            "HTTP/1.1 {status} -\r\nX-Nutmeggrade-Attempt-Id: {id}\r\n{SIGNATURE}: by.{}\r\n\
             {headers}\r\n{body}",
            self.id
        )
    }

    async fn refuse(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &str,
    ) -> anyhow::Result<()> {
        send(stream, &format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: 0\r\n\r\n")).await
    }
}

async fn send_event(stream: &mut TcpStream, id: &str, event: u64) -> anyhow::Result<()> {
    let text = format!("id: {event}\ndata: {id}.{event}\n\n");
    send(stream, &format!("{:x}\r\n{text}\r\n", text.len())).await
}

async fn send(stream: &mut TcpStream, text: &str) -> anyhow::Result<()> {
    stream.write_all(text.as_bytes()).await.context("send")
}

async fn send_json(stream: &mut TcpStream, status: u16, body: &Value) -> anyhow::Result<()> {
    let body = body.to_string();
    let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
    send(stream, &(head + &body)).await
}

/// Ends a connection so that the other side sees that it broke.
fn reset(stream: &TcpStream) -> anyhow::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    anyhow::bail!("reset")
}
