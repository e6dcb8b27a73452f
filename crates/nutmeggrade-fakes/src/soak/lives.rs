//! Endpoints of a soak, one life after another.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::relay::{Link, Relay};
use crate::site::{Behaviour, Endpoint, Entry, Generations, Store};

/// The failure domains.
pub const DOMAINS: [&str; 3] = ["veluwe", "utrechtse-heuvelrug", "gooi"];
/// Events of each stream.
pub const EVENTS: u64 = 120;
/// Pause before each event: a stream takes nearly two seconds, as long as the shortest notice.
const PAUSE: Duration = Duration::from_millis(15);
/// Time after which a dead endpoint's entry lapses.
const LAPSE: Duration = Duration::from_millis(1_200);
/// Time until another endpoint comes.
const NEXT: Duration = Duration::from_millis(500);
/// How long a fresh engine is cold.
const COLD: Duration = Duration::from_secs(1);

/// One life of an endpoint.
#[derive(Debug, Clone)]
pub struct Life {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its failure domain.
    pub domain: &'static str,
    /// When the store was told that it leaves.
    pub left: Option<Instant>,
    /// Until when it is cold, from its first entry on.
    pub cold_until: Option<Instant>,
    /// Times in which it or its link did not do what they should.
    pub harms: Vec<(Instant, Instant)>,
}

impl Life {
    /// Says whether it and its link were sound between two moments.
    pub fn is_sound(&self, from: Instant, until: Instant) -> bool {
        !self.harms.iter().any(|(begin, end)| *begin <= until && *end >= from)
    }
}

struct Slot {
    service: &'static str,
    domain: &'static str,
    life: usize,
    relay: Arc<Relay>,
    is_changing: bool,
}

/// The endpoints of a soak.
pub struct Lives {
    store: Store,
    generations: Generations,
    slots: Mutex<Vec<Slot>>,
    all: Mutex<Vec<Life>>,
}

impl Lives {
    /// Starts the first lives.
    pub async fn start(store: &Store, engines: usize, services: usize) -> anyhow::Result<Self> {
        let lives = Self {
            store: store.clone(),
            generations: Generations::default(),
            slots: Mutex::default(),
            all: Mutex::default(),
        };
        for n in 0..engines + services {
            let service = if n < engines { "writers" } else { "desk" };
            let domain = DOMAINS[n % DOMAINS.len()];
            let (life, relay) = lives.begin(n, service, domain, None, Duration::ZERO).await?;
            let relay = Arc::new(relay);
            guard(&lives.slots).push(Slot { service, domain, life, relay, is_changing: false });
        }
        Ok(lives)
    }

    /// Returns all lives.
    pub fn all(&self) -> Vec<Life> {
        guard(&self.all).clone()
    }

    /// Has the link to an endpoint fail for a while.
    pub async fn fail_link(&self, slot: usize, link: Link, time: Duration) {
        let (life, relay) = {
            let slots = guard(&self.slots);
            (slots[slot].life, Arc::clone(&slots[slot].relay))
        };
        self.harm(life, time);
        relay.set(link);
        sleep(time).await;
        relay.set(Link::Open);
    }

    /// Has an endpoint misbehave for a while.
    pub async fn misbehave(&self, slot: usize, behaviour: Behaviour, time: Duration) {
        let (life, service) = {
            let slots = guard(&self.slots);
            (slots[slot].life, slots[slot].service)
        };
        self.harm(life, time);
        let endpoint = guard(&self.all)[life].endpoint.clone();
        endpoint.set(behaviour);
        sleep(time).await;
        endpoint.set(usual(service));
    }

    /// Has an endpoint leave, having said so or not, go after a while, and another one come.
    pub async fn leave(&self, slot: usize, is_told: bool, stay: Duration) -> anyhow::Result<()> {
        let Some(life) = self.take(slot) else { return Ok(()) };
        let (id, entry) = self.entry(slot);
        let endpoint = guard(&self.all)[life].endpoint.clone();
        if is_told {
            endpoint.leave_in(stay);
            self.store.put("servers", &id, entry.with_leaving(true).content());
        } else {
            self.store.remove("servers", &id);
        }
        guard(&self.all)[life].left = Some(Instant::now());
        sleep(stay).await;
        self.end(life, &endpoint);
        self.store.remove("servers", &id);
        sleep(NEXT).await;
        self.replace(slot, None).await
    }

    /// Has an endpoint crash, and come back under its old id or as another one.
    pub async fn crash(&self, slot: usize, is_reborn: bool) -> anyhow::Result<()> {
        let Some(life) = self.take(slot) else { return Ok(()) };
        let (id, _) = self.entry(slot);
        let endpoint = guard(&self.all)[life].endpoint.clone();
        self.end(life, &endpoint);
        sleep(LAPSE).await;
        if !is_reborn {
            self.store.remove("servers", &id);
            guard(&self.all)[life].left = Some(Instant::now());
        }
        sleep(NEXT).await;
        self.replace(slot, is_reborn.then_some(id)).await
    }

    /// Ends a life for good: nothing that it does from now on is sound.
    fn end(&self, life: usize, endpoint: &Endpoint) {
        self.harm(life, Duration::from_hours(1));
        endpoint.kill();
    }

    /// Takes the endpoint of a slot for a change of its life, unless it is in one.
    fn take(&self, slot: usize) -> Option<usize> {
        let mut slots = guard(&self.slots);
        let taken = !slots[slot].is_changing;
        slots[slot].is_changing = true;
        taken.then_some(slots[slot].life)
    }

    fn entry(&self, slot: usize) -> (String, Entry) {
        let slots = guard(&self.slots);
        let slot = &slots[slot];
        let id = guard(&self.all)[slot.life].endpoint.id().to_owned();
        let mut entry = Entry::new(slot.service, slot.relay.address);
        slot.domain.clone_into(&mut entry.domain);
        entry.born = slot.life as u64 + 1;
        (id, entry)
    }

    async fn replace(&self, slot: usize, id: Option<String>) -> anyhow::Result<()> {
        let (service, domain) = {
            let slots = guard(&self.slots);
            (slots[slot].service, slots[slot].domain)
        };
        let cold = if service == "writers" { COLD } else { Duration::ZERO };
        let (life, relay) = self.begin(slot, service, domain, id, cold).await?;
        let mut slots = guard(&self.slots);
        slots[slot].life = life;
        slots[slot].relay = Arc::new(relay);
        slots[slot].is_changing = false;
        Ok(())
    }

    async fn begin(
        &self,
        slot: usize,
        service: &'static str,
        domain: &'static str,
        id: Option<String>,
        cold: Duration,
    ) -> anyhow::Result<(usize, Relay)> {
        let number = guard(&self.all).len();
        let id = id.unwrap_or_else(|| format!("e-{slot}-{number}"));
        let endpoint = Endpoint::start(&id, usual(service), &self.generations).await?;
        let relay = Relay::start(endpoint.address).await?;
        endpoint.show_as(relay.address);
        let cold_until = (!cold.is_zero()).then(|| Instant::now() + cold);
        let life = {
            let mut lives = guard(&self.all);
            lives.push(Life { endpoint, domain, left: None, cold_until, harms: Vec::new() });
            lives.len() - 1
        };
        let mut entry = Entry::new(service, relay.address);
        domain.clone_into(&mut entry.domain);
        entry.cold_ms = u64::try_from(cold.as_millis())?;
        entry.born = life as u64 + 1;
        self.store.put("servers", &id, entry.content());
        Ok((life, relay))
    }

    fn harm(&self, life: usize, time: Duration) {
        let now = Instant::now();
        guard(&self.all)[life].harms.push((now, now + time));
    }
}

/// Returns what a sound endpoint does.
const fn usual(service: &str) -> Behaviour {
    match service.as_bytes() {
        b"writers" => Behaviour::Stream { events: EVENTS, pause: PAUSE },
        _ => Behaviour::Answer,
    }
}

fn guard<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
