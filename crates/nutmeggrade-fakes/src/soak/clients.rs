//! Clients of a soak.

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
use super::ledger::{Asked, Ledger, Outcome};
use crate::site::{Answer, RawClient, request};

/// How long clients wait for an answer, as they say in each request.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time beyond it after which a client sees that no end came.
const SLACK: Duration = Duration::from_secs(1);
/// Time that a client gives a connection or the directory.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest pause between two requests of a client.
const THINK_MS: u64 = 120;
const PROMPT: &str = "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 400,480\r\n";
/// Headers that only the system may set.
const FORGED: &str = "X-Nutmeggrade-Pin-Ms: 9\r\nKv-From: 127.0.0.1:1/x\r\n\
     X-Nutmeggrade-Tenant-Name: other\r\nX-Nutmeggrade-Kv-Replica: 127.0.0.1:1\r\n";

/// One client, which goes on until it is told to stop.
pub struct Client {
    name: usize,
    asked: usize,
    instances: Arc<Instances>,
    ledger: Arc<Ledger>,
    rng: ChaCha8Rng,
    entries: Vec<SocketAddr>,
    entries_until: Instant,
}

impl Client {
    /// Makes a client.
    pub fn new(name: usize, seed: u64, instances: &Arc<Instances>, ledger: &Arc<Ledger>) -> Self {
        Self {
            name,
            asked: 0,
            instances: Arc::clone(instances),
            ledger: Arc::clone(ledger),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((name as u64 + 1) << 32)),
            entries: Vec::new(),
            entries_until: Instant::now(),
        }
    }

    /// Connects and asks, again and again.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let think = self.rng.random_range(1..THINK_MS);
            sleep(Duration::from_millis(think)).await;
            let Some((instance, mut connection)) = self.connect().await else { continue };
            let most = self.rng.random_range(1..8);
            for _ in 0..most {
                if *stop.borrow() || !self.ask_on(instance, &mut connection).await {
                    break;
                }
            }
        }
    }

    /// Asks on a route until it is served, as clients do that are told to come back.
    pub async fn until_served(&mut self, route: &'static str, most: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if let Some((instance, mut connection)) = self.connect().await {
                let outcome = self.ask(route, "key-1", instance, &mut connection, None).await;
                if outcome.is_served() {
                    return true;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Asks once on an open connection; says whether it can be used again.
    async fn ask_on(&mut self, instance: usize, connection: &mut RawClient) -> bool {
        let route = match self.rng.random_range(0..100) {
            0..32 => "once",
            32..54 => "read",
            54..80 => "draft",
            80..94 => "sort",
            _ => "late",
        };
        let key = if self.rng.random_bool(0.06) { "key-2" } else { "key-1" };
        let leaves = self.rng.random_bool(0.07);
        let leaves = leaves.then(|| Duration::from_millis(self.rng.random_range(5..900)));
        let outcome = self.ask(route, key, instance, connection, leaves).await;
        match outcome {
            Outcome::Answer(answer) => {
                answer.is_whole && answer.message.header("connection") != Some("close")
            }
            _ => false,
        }
    }

    async fn ask(
        &mut self,
        route: &'static str,
        key: &str,
        instance: usize,
        connection: &mut RawClient,
        leaves: Option<Duration>,
    ) -> Outcome {
        self.asked += 1;
        let id = format!("c{}-{}", self.name, self.asked);
        let mut more = format!("X-Nutmeggrade-Deadline-Ms: {}\r\n", PATIENCE.as_millis());
        if matches!(route, "draft" | "sort") {
            more.push_str(PROMPT);
        }
        if self.rng.random_bool(0.1) {
            more.push_str(FORGED);
        }
        let sent = Instant::now();
        let patience = leaves.unwrap_or(PATIENCE + SLACK);
        let exchange = async {
            connection.send(&request(route, &id, key, &more)).await?;
            connection.answer().await
        };
        let outcome = match timeout(patience, exchange).await {
            Ok(Ok(answer)) => Outcome::Answer(answer),
            Ok(Err(_)) => Outcome::Cut,
            Err(_) if leaves.is_some() => Outcome::Left,
            Err(_) => Outcome::GaveUp,
        };
        self.ledger.ask(Asked {
            id,
            route,
            key: key.to_owned(),
            instance,
            sent,
            ended: Instant::now(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Connects to one of the instances that the directory names.
    async fn connect(&mut self) -> Option<(usize, RawClient)> {
        if self.entries.is_empty() || Instant::now() >= self.entries_until {
            let fresh = self.look_up().await;
            // Some clients keep an answer for longer than they are told to.
            let keep = if self.rng.random_bool(0.2) { 6 } else { 2 };
            if let Ok(entries) = fresh {
                self.entries = entries;
                self.entries_until = Instant::now() + Duration::from_secs(keep);
            }
        }
        if self.entries.is_empty() {
            return None;
        }
        let address = self.entries[self.rng.random_range(0..self.entries.len())];
        let instance = self.instances.find(address)?;
        if let Ok(Ok(connection)) = timeout(CONNECT, RawClient::connect(address)).await {
            return Some((instance, connection));
        }
        self.entries.retain(|e| *e != address);
        None
    }

    async fn look_up(&mut self) -> anyhow::Result<Vec<SocketAddr>> {
        let asked = self.instances.directory(self.rng.random_range(0..self.instances.count()));
        let exchange = async {
            let mut client = RawClient::connect(asked).await?;
            let query = "name=desk.example&region=x&zone=veluwe";
            client
                .send(&format!("GET /nutmeggrade/resolution?{query} HTTP/1.1\r\nHost: x\r\n\r\n"))
                .await?;
            client.answer().await
        };
        let Answer { message, .. } = timeout(CONNECT, exchange).await.context("no directory")??;
        let body: Value = serde_json::from_slice(&message.body).context("directory's answer")?;
        serde_json::from_value(body["addresses"].clone()).context("addresses")
    }
}
