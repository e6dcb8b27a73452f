//! A simulated endpoint: an inference engine or a plain service.

mod copying;
mod crashing;
mod endless;
mod holding;
mod reporting;
mod responses;
mod silence;
mod streaming;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::engine::LOAD_PATH;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use self::holding::is_hold_call;
use self::responses::{send, send_json, until_closed};
use self::streaming::reset;
use super::behaviour::Behaviour;
use super::generation::Generations;
use super::holds::Holds;
use super::message::Message;
use super::notices::Notices;
use super::received_request::ReceivedRequest;
use super::vanishing::vanish;

/// Size from which a body is large.
const LARGE_BODY_BYTES: usize = 10_000;

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    received: Vec<ReceivedRequest>,
    leaves_ms: Option<u64>,
    open_connections: usize,
    advertised_address: SocketAddr,
    ends_with_connection: bool,
    finishes_at_stop: bool,
    /// Time that passes before an order to stop a generation is carried out.
    stop_delay: Duration,
    /// Time for which it doesn't read a large body.
    read_delay: Duration,
    /// Software version that its events show, if any.
    version: Option<String>,
    /// Part of a prompt that crashes it, and how long after the answer began.
    crashing_part: Option<(u64, Duration)>,
}

/// An endpoint with configurable behaviour.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    id: String,
    state: Arc<Mutex<State>>,
    notices: Arc<Mutex<Notices>>,
    holds: Arc<Mutex<Holds>>,
    generations: Generations,
    crashed: watch::Sender<bool>,
    holds_ends: watch::Sender<bool>,
    listens: watch::Sender<bool>,
    silent: watch::Sender<bool>,
}

impl Endpoint {
    /// Starts an endpoint on a free local port.
    pub async fn start(
        id: &str,
        behaviour: Behaviour,
        generations: &Generations,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("bind an endpoint")?;
        let address = listener.local_addr()?;
        let state = State {
            behaviour,
            received: Vec::new(),
            leaves_ms: None,
            open_connections: 0,
            advertised_address: address,
            ends_with_connection: false,
            finishes_at_stop: false,
            stop_delay: Duration::ZERO,
            read_delay: Duration::ZERO,
            version: None,
            crashing_part: None,
        };
        let endpoint = Self {
            address,
            id: id.to_owned(),
            state: Arc::new(Mutex::new(state)),
            notices: Arc::default(),
            holds: Arc::default(),
            generations: generations.clone(),
            crashed: watch::Sender::new(false),
            holds_ends: watch::Sender::new(false),
            listens: watch::Sender::new(true),
            silent: watch::Sender::new(false),
        };
        let server = endpoint.clone();
        tokio::spawn(async move {
            let mut crashed = server.crashed.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = crashed.wait_for(|c| *c) => {
                        drop(listener);
                        server.listens.send_replace(false);
                        return;
                    }
                };
                let Ok((stream, _)) = stream else { return };
                let endpoint = server.clone();
                tokio::spawn(async move {
                    endpoint.state().open_connections += 1;
                    // Connection errors are expected: the instance may close a connection at any time.
                    drop(endpoint.serve(stream).await);
                    endpoint.state().open_connections -= 1;
                });
            }
        });
        Ok(endpoint)
    }

    /// Returns the endpoint's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the behaviour for later requests.
    pub fn set(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Sets the address under which it is registered, if that differs from the one it listens on.
    pub fn set_advertised_address(&self, address: SocketAddr) {
        self.state().advertised_address = address;
    }

    /// Makes it send complete streams with neither a length nor chunks, ended by their connection.
    pub fn end_streams_with_connection(&self) {
        self.state().ends_with_connection = true;
    }

    /// Makes its generations end by themselves at the moment in which they are ordered to stop.
    pub fn finish_at_stop(&self) {
        self.state().finishes_at_stop = true;
    }

    /// Makes it read large bodies only after a delay.
    pub fn read_late(&self, delay: Duration) {
        self.state().read_delay = delay;
    }

    /// Makes its events show a software version.
    pub fn set_version(&self, version: &str) {
        self.state().version = Some(version.to_owned());
    }

    /// Sets whether it keeps streams open that it sends in part, before it ends them.
    pub fn hold_ends(&self, holds: bool) {
        self.holds_ends.send_replace(holds);
    }

    /// Returns what it asks of its callers, for changes too.
    pub fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the remaining time before it leaves, which its report contains.
    pub fn announce_leave(&self, time: Duration) {
        self.state().leaves_ms = u64::try_from(time.as_millis()).ok();
    }

    /// Returns the requests received so far, except for reports, health checks and copies.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.state().received.clone()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.state().open_connections
    }

    /// Returns how often it started to execute the request of an attempt.
    pub fn runs(&self, id: &str) -> usize {
        self.state().received.iter().filter(|s| s.ran && s.id() == id).count()
    }

    fn advertised_address(&self) -> SocketAddr {
        self.state().advertised_address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        while let Some(mut request) = Message::read_head(&mut stream).await? {
            let behaviour = self.state().behaviour;
            if behaviour == Behaviour::CloseAll {
                return Ok(());
            }
            if behaviour == Behaviour::EarlyResponse {
                return self
                    .send_empty(&mut stream, 400, "X-Nutmeggrade-Not-Executed: 1\r\n")
                    .await;
            }
            if request.content_length().is_some_and(|length| length > LARGE_BODY_BYTES) {
                if behaviour == Behaviour::Vanish {
                    vanish(&stream)?;
                    return std::future::pending().await;
                }
                let delay = self.state().read_delay;
                sleep(delay).await;
            }
            if !request.read_body(&mut stream).await {
                return Ok(());
            }
            self.until_heard().await;
            let (_, target) = request.request();
            match target {
                "/nutmeggrade/report" => self.handle_report(&mut stream).await?,
                "/health" => self.handle_health(&mut stream).await?,
                LOAD_PATH => self.handle_load(&mut stream).await?,
                "/nutmeggrade/kv-move" => self.handle_copy(&mut stream, &request).await?,
                _ if is_hold_call(target) => self.handle_hold(&mut stream, &request).await?,
                _ => self.handle_request(&mut stream, request, behaviour).await?,
            }
        }
        Ok(())
    }

    async fn handle_request(
        &self,
        stream: &mut TcpStream,
        request: Message,
        behaviour: Behaviour,
    ) -> anyhow::Result<()> {
        let expected_id = request.header("x-nutmeggrade-expected-instance");
        let is_misdirected = expected_id.is_some_and(|e| e != self.id);
        let copy_source = request.header("kv-from").map(str::to_owned);
        let copy = copy_source.as_deref().map(|source| self.claim_copy(source));
        let is_copy_missing = matches!(copy, Some(None));
        // A continued generation keeps its length, and goes on at the speed of this engine.
        let behaviour = match (behaviour, copy.flatten()) {
            (Behaviour::Stream { pause, .. }, Some(events)) => Behaviour::Stream { events, pause },
            (behaviour, _) => behaviour,
        };
        let ran = !is_misdirected
            && !is_copy_missing
            && !matches!(behaviour, Behaviour::Shed | Behaviour::Misdirect);
        let id = request.header("x-nutmeggrade-attempt-id").unwrap_or_default().to_owned();
        let position = request.header("last-event-id").and_then(|p| p.parse().ok()).unwrap_or(0);
        let body = request.body.clone();
        let at = Instant::now();
        let crash_delay = self.crash_delay(&request);
        self.use_hold(&request);
        let received = ReceivedRequest { message: request, ran, is_misdirected, at, ended: None };
        let number = {
            let mut state = self.state();
            state.received.push(received);
            state.received.len() - 1
        };
        let outcome = if is_misdirected {
            self.send_empty(stream, 421, "").await
        } else if is_copy_missing {
            self.send_empty(stream, 503, "X-Nutmeggrade-Not-Executed: 1\r\n").await
        } else if let Behaviour::EndlessTokens(size) = behaviour {
            endless::send_tokens(stream, &body, size).await
        } else if let Some(delay) = crash_delay {
            self.crash_within_stream(stream, &id, delay).await
        } else {
            self.respond(stream, &id, position, behaviour).await
        };
        self.state().received[number].ended = Some(Instant::now());
        outcome
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        id: &str,
        position: u64,
        behaviour: Behaviour,
    ) -> anyhow::Result<()> {
        let body = format!("done {id} by {}", self.id);
        let response =
            || self.response(200, id, &format!("Content-Length: {}\r\n", body.len()), &body);
        match behaviour {
            Behaviour::Answer => send(stream, &response()).await,
            Behaviour::Slow(time) => {
                sleep(time).await;
                self.until_heard().await;
                send(stream, &response()).await
            }
            Behaviour::Shed => {
                let notices = self.notices().rejection_headers(id);
                let headers = format!("{notices}X-Nutmeggrade-Not-Executed: 1\r\n");
                self.send_empty(stream, 503, &headers).await
            }
            Behaviour::Misdirect => self.send_empty(stream, 421, "").await,
            Behaviour::Fail => {
                send(stream, &self.response(500, id, "Content-Length: 4\r\n", "oops")).await
            }
            Behaviour::Close | Behaviour::CloseAll | Behaviour::Vanish => anyhow::bail!("closed"),
            Behaviour::Crash => self.crash().await,
            Behaviour::Truncate => {
                let response = response();
                send(stream, &response[..response.len() - 3]).await?;
                anyhow::bail!("truncated")
            }
            Behaviour::Raw(text) => {
                send(stream, &text.replace("{id}", id)).await?;
                anyhow::bail!("closed after the text")
            }
            Behaviour::RawStall(text, bytes) => {
                send(stream, &text.replace("{id}", id)).await?;
                send(stream, &"x".repeat(bytes)).await?;
                until_closed(stream).await
            }
            Behaviour::Endless { beginning, part } => {
                endless::send(stream, &beginning.replace("{id}", id), part).await
            }
            Behaviour::CloseDelimited => {
                send(stream, &self.response(200, id, "Connection: close\r\n", &body)).await?;
                anyhow::bail!("closed to end the response")
            }
            Behaviour::Large { bytes, is_chunked: true } => {
                let body = format!("{bytes:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(bytes));
                send(stream, &self.response(200, id, "Transfer-Encoding: chunked\r\n", &body)).await
            }
            Behaviour::Large { bytes, is_chunked: false } => {
                let body = "x".repeat(bytes);
                send(stream, &self.response(200, id, "Connection: close\r\n", &body)).await?;
                anyhow::bail!("closed to end the response")
            }
            Behaviour::CrashWithin(bytes) => {
                let body = "x".repeat(bytes);
                send(stream, &self.response(200, id, "Connection: close\r\n", &body)).await?;
                self.holds_ends.subscribe().wait_for(|holds| !holds).await?;
                self.crash().await
            }
            Behaviour::CloseDelimitedReset => {
                send(stream, &self.response(200, id, "Connection: close\r\n", &body[..4])).await?;
                reset(stream)
            }
            Behaviour::ExtraResponse => send(stream, &response().repeat(2)).await,
            Behaviour::WrongAttemptId => {
                let other = self.response(200, "another", "Content-Length: 5\r\n", "wrong");
                send(stream, &other).await
            }
            Behaviour::Unsigned => {
                let head = format!("X-Nutmeggrade-Attempt-Id: {id}\r\nContent-Length: 4\r\n");
                send(stream, &format!("HTTP/1.1 200 OK\r\n{head}\r\nfake")).await
            }
            Behaviour::EarlyResponse | Behaviour::EndlessTokens(_) => {
                anyhow::bail!("already responded")
            }
            Behaviour::Hang => until_closed(stream).await,
            Behaviour::Stream { events, pause } => {
                self.send_stream(stream, id, position, events, pause).await
            }
            Behaviour::LateStream { delay, events } => {
                sleep(delay).await;
                self.send_stream(stream, id, position, events, Duration::ZERO).await
            }
            Behaviour::StreamCut { events } => {
                self.send_cut_stream(stream, id, position, events).await
            }
            Behaviour::StreamPart { events, rest, end } => {
                self.send_stream_part(stream, id, position, (events, rest), end).await
            }
        }
    }
}
