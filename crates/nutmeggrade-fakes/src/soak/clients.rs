//! The clients of a soak.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::instances::Instances;
use super::records::{Outcome, Records, RequestRecord, TakeUp};
use crate::site::{Answer, RawClient, request};

/// Deadline that clients send with a request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Deadline of a client that reads slowly: the shortest timeout of the routes.
const SLOW_DEADLINE: Duration = Duration::from_secs(8);
/// Receive buffer of a client that reads slowly; many responses don't fit into it.
const SLOW_BUFFER_BYTES: u32 = 2 << 10;
/// Pause of a client that reads slowly, in milliseconds.
const READ_PAUSE_MS: std::ops::Range<u64> = 3_500..6_000;
/// Time past the deadline after which a client counts the request as timed out.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Limit on connecting, and on a directory lookup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that a client takes up a stream that broke.
const MAX_TAKE_UPS: usize = 3;
/// Time in which a client tries to reach an instance that takes up its stream.
const TAKE_UP_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest pause before a client opens its next connection.
const MAX_THINK_TIME_MS: u64 = 120;
const PROMPT_HEADERS: &str =
    "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 400,480\r\n";
/// Headers that only the system may set; it must remove them from client requests.
const FORGED_HEADERS: &str = "X-Nutmeggrade-Pin-Ms: 9\r\nKv-From: 127.0.0.1:1/x\r\n\
     X-Nutmeggrade-Tenant-Name: other\r\nX-Nutmeggrade-Kv-Replica: 127.0.0.1:1\r\n";

/// A client that sends requests until it is stopped.
pub struct Client {
    number: usize,
    request_count: usize,
    instances: Arc<Instances>,
    records: Arc<Records>,
    rng: ChaCha8Rng,
    addresses: Vec<SocketAddr>,
    addresses_expire: Instant,
    keeps_connections: bool,
    reads_slowly: bool,
    /// Deadline of its streams, if not the usual one.
    stream_deadline: Option<Duration>,
}

impl Client {
    /// Creates a client; its random choices depend on the seed and its number.
    pub fn new(
        number: usize,
        seed: u64,
        instances: &Arc<Instances>,
        records: &Arc<Records>,
    ) -> Self {
        Self {
            number,
            request_count: 0,
            instances: Arc::clone(instances),
            records: Arc::clone(records),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
            addresses: Vec::new(),
            addresses_expire: Instant::now(),
            keeps_connections: false,
            reads_slowly: false,
            stream_deadline: None,
        }
    }

    /// Sets whether it uses each connection until the instance closes it.
    #[must_use]
    pub const fn with_kept_connections(mut self, keeps: bool) -> Self {
        self.keeps_connections = keeps;
        self
    }

    /// Sets whether it pauses before it reads responses, and receives little meanwhile.
    #[must_use]
    pub const fn with_slow_reads(mut self, slow: bool) -> Self {
        self.reads_slowly = slow;
        self
    }

    /// Sets a deadline for its streams.
    #[must_use]
    pub const fn with_stream_deadline(mut self, deadline: Duration) -> Self {
        self.stream_deadline = Some(deadline);
        self
    }

    /// Opens connections and sends up to seven requests on each, or as many as it can, until `stop` is
    /// set.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let think_time = self.rng.random_range(1..MAX_THINK_TIME_MS);
            sleep(Duration::from_millis(think_time)).await;
            let Some((instance, mut connection)) = self.connect().await else { continue };
            let count: usize = self.rng.random_range(1..8);
            let count = if self.keeps_connections { usize::MAX } else { count };
            for _ in 0..count {
                if *stop.borrow() || !self.send_random(instance, &mut connection).await {
                    break;
                }
            }
        }
    }

    /// Retries requests on a route until one is served; returns whether that happened in `limit`.
    pub async fn until_served(&mut self, route: &'static str, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some((instance, mut connection)) = self.connect().await {
                let outcome =
                    self.exchange(route, "key-1", (instance, &mut connection), None, None).await;
                if outcome.is_served() {
                    return true;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Sends one random request on an open connection; returns whether the connection can be reused.
    async fn send_random(&mut self, instance: usize, connection: &mut RawClient) -> bool {
        let route = match self.rng.random_range(0..100) {
            0..32 => "once",
            32..54 => "read",
            54..80 => "draft",
            80..94 => "sort",
            _ => "late",
        };
        let key = if self.rng.random_bool(0.06) { "key-2" } else { "key-1" };
        let cancels = self.rng.random_bool(0.07);
        let cancel_after = cancels.then(|| Duration::from_millis(self.rng.random_range(5..900)));
        let outcome = self.exchange(route, key, (instance, connection), cancel_after, None).await;
        if route == "sort" {
            self.take_up(key, &outcome).await;
        }
        match outcome {
            Outcome::Response(response) => {
                response.is_whole && response.message.header("connection") != Some("close")
            }
            _ => false,
        }
    }

    /// Takes up the stream that the last request began, if it broke, at any instance.
    async fn take_up(&mut self, key: &str, begun: &Outcome) {
        let first = self.last_id();
        let Some((mut position, false)) = received_events(begun) else { return };
        for _ in 0..MAX_TAKE_UPS {
            if position == 0 {
                return;
            }
            let Some((instance, mut connection)) = self.connect_again().await else { return };
            let take_up = TakeUp { first: first.clone(), position };
            let to = (instance, &mut connection);
            let outcome = self.exchange("sort", key, to, None, Some(take_up)).await;
            if let Some((events, is_whole)) = received_events(&outcome) {
                position += events;
                if is_whole {
                    return;
                }
            }
        }
    }

    /// Connects to an instance, with retries for a while.
    async fn connect_again(&mut self) -> Option<(usize, RawClient)> {
        let start = Instant::now();
        while start.elapsed() < TAKE_UP_TIMEOUT {
            if let Some(connected) = self.connect().await {
                return Some(connected);
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    fn last_id(&self) -> String {
        format!("c{}-{}", self.number, self.request_count)
    }

    /// Sends a request, waits for its response and records the outcome.
    async fn exchange(
        &mut self,
        route: &'static str,
        key: &str,
        (instance, connection): (usize, &mut RawClient),
        cancel_after: Option<Duration>,
        take_up: Option<TakeUp>,
    ) -> Outcome {
        self.request_count += 1;
        let id = self.last_id();
        let is_stream = matches!(route, "draft" | "sort");
        let deadline = match self.stream_deadline {
            Some(deadline) if is_stream => deadline,
            _ if self.reads_slowly => SLOW_DEADLINE,
            _ => DEADLINE,
        };
        let pause = if self.reads_slowly { self.rng.random_range(READ_PAUSE_MS) } else { 0 };
        let mut headers = format!("X-Nutmeggrade-Deadline-Ms: {}\r\n", deadline.as_millis());
        if is_stream {
            headers.push_str(PROMPT_HEADERS);
        }
        if let Some(TakeUp { first, position }) = &take_up {
            let lines = format!("Last-Event-Id: {position}\r\nResumes: {first}\r\n");
            headers.push_str(&lines);
        }
        if self.rng.random_bool(0.1) {
            headers.push_str(FORGED_HEADERS);
        }
        let sent = Instant::now();
        let limit = cancel_after.unwrap_or(deadline + TIMEOUT_MARGIN);
        let exchange = async {
            connection.send(&request(route, &id, key, &headers)).await?;
            sleep(Duration::from_millis(pause)).await;
            connection.answer().await
        };
        let outcome = match timeout(limit, exchange).await {
            Ok(Ok(response)) => Outcome::Response(response),
            Ok(Err(_)) => Outcome::ConnectionClosed,
            Err(_) if cancel_after.is_some() => Outcome::Cancelled,
            Err(_) => Outcome::TimedOut,
        };
        self.records.add_request(RequestRecord {
            id,
            route,
            key: key.to_owned(),
            instance,
            sent,
            deadline,
            ended: Instant::now(),
            outcome: outcome.clone(),
            take_up,
            is_slow: self.reads_slowly,
        });
        outcome
    }

    /// Connects to a random instance among the addresses that the directory returned.
    async fn connect(&mut self) -> Option<(usize, RawClient)> {
        if self.addresses.is_empty() || Instant::now() >= self.addresses_expire {
            let lookup = self.look_up().await;
            // Some clients cache addresses for longer than the directory allows.
            let cache_seconds = if self.rng.random_bool(0.2) { 6 } else { 2 };
            if let Ok(addresses) = lookup {
                self.addresses = addresses;
                self.addresses_expire = Instant::now() + Duration::from_secs(cache_seconds);
            }
        }
        if self.addresses.is_empty() {
            return None;
        }
        let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
        let instance = self.instances.find(address)?;
        let connect = async {
            if self.reads_slowly {
                RawClient::connect_with_buffer(address, SLOW_BUFFER_BYTES).await
            } else {
                RawClient::connect(address).await
            }
        };
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, connect).await {
            return Some((instance, connection));
        }
        self.addresses.retain(|a| *a != address);
        None
    }

    async fn look_up(&mut self) -> anyhow::Result<Vec<SocketAddr>> {
        let directory = self.instances.directory(self.rng.random_range(0..self.instances.count()));
        let exchange = async {
            let mut client = RawClient::connect(directory).await?;
            let query = "name=desk.example&region=x&zone=veluwe";
            client
                .send(&format!("GET /nutmeggrade/resolution?{query} HTTP/1.1\r\nHost: x\r\n\r\n"))
                .await?;
            client.answer().await
        };
        let Answer { message, .. } =
            timeout(CONNECT_TIMEOUT, exchange).await.context("directory lookup timed out")??;
        let body: Value = serde_json::from_slice(&message.body).context("directory response")?;
        serde_json::from_value(body["addresses"].clone()).context("addresses")
    }
}

/// Returns the number of complete events in a successful response, and whether it is complete.
fn received_events(outcome: &Outcome) -> Option<(u64, bool)> {
    let Outcome::Response(response) = outcome else { return None };
    let body = String::from_utf8_lossy(&response.message.body);
    let events = body.matches("\n\n").count() as u64;
    (response.status == 200).then_some((events, response.is_whole))
}
