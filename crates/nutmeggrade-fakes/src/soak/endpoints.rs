//! The simulated endpoints of a soak and their successive incarnations.

mod release;
mod silence;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::relay::{Link, Relay};
use crate::site::{Behaviour, Endpoint, Entry, Generations, Store};

/// Names of the failure domains.
pub const DOMAINS: [&str; 3] = ["veluwe", "utrechtse-heuvelrug", "gooi"];
/// Number of events in each stream.
pub const EVENTS_PER_STREAM: u64 = 120;
/// Pause before each event: a stream takes nearly two seconds, as long as the shortest leave notice.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time after which the entry of a crashed endpoint expires.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_200);
/// Delay before a replacement endpoint starts.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);
/// Time for which a new engine is cold.
const COLD_START: Duration = Duration::from_secs(1);

/// One incarnation of an endpoint, from its start to its exit.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// The simulated endpoint.
    pub endpoint: Endpoint,
    /// Name of its failure domain.
    pub domain: &'static str,
    /// When the store recorded that it leaves.
    pub left_at: Option<Instant>,
    /// When its cold start ends, if it has one.
    pub cold_until: Option<Instant>,
    /// When it crashed or ended.
    pub gone_at: Option<Instant>,
    /// Periods in which it was faulty.
    pub faults: Vec<(Instant, Instant)>,
    /// Periods in which its link was faulty.
    pub link_faults: Vec<(Instant, Instant)>,
    /// Periods in which it was silent though sound.
    pub silences: Vec<(Instant, Instant)>,
    /// Software version.
    pub version: String,
}

impl Incarnation {
    /// Returns whether the endpoint and its link had no fault in a period and it wasn't silent.
    pub fn is_healthy(&self, start: Instant, end: Instant) -> bool {
        !self.had_fault(start, end)
            && !self.had_link_fault(start, end)
            && !self.was_silent(start, end)
    }

    /// Returns whether the endpoint was faulty in a period.
    pub fn had_fault(&self, start: Instant, end: Instant) -> bool {
        overlaps(&self.faults, start, end)
    }

    /// Returns whether the endpoint was silent in a period.
    pub fn was_silent(&self, start: Instant, end: Instant) -> bool {
        overlaps(&self.silences, start, end)
    }

    /// Returns whether the endpoint's link had a fault in a period.
    pub fn had_link_fault(&self, start: Instant, end: Instant) -> bool {
        overlaps(&self.link_faults, start, end)
    }
}

struct Slot {
    service: &'static str,
    domain: &'static str,
    incarnation: usize,
    relay: Arc<Relay>,
    is_replacing: bool,
}

/// The endpoints of a soak, by slot; each slot holds one running incarnation at a time.
pub struct SoakEndpoints {
    store: Store,
    generations: Generations,
    slots: Mutex<Vec<Slot>>,
    incarnations: Mutex<Vec<Incarnation>>,
    /// Number of the version of engines that start.
    engine_version: AtomicU32,
}

impl SoakEndpoints {
    /// Starts one endpoint in each slot, the engines first.
    pub async fn start(store: &Store, engines: usize, services: usize) -> anyhow::Result<Self> {
        let endpoints = Self {
            store: store.clone(),
            generations: Generations::default(),
            slots: Mutex::default(),
            incarnations: Mutex::default(),
            engine_version: AtomicU32::new(1),
        };
        for n in 0..engines + services {
            let service = if n < engines { "writers" } else { "desk" };
            let domain = DOMAINS[n % DOMAINS.len()];
            let (incarnation, relay) =
                endpoints.start_incarnation(n, service, domain, None, Duration::ZERO).await?;
            let relay = Arc::new(relay);
            lock(&endpoints.slots).push(Slot {
                service,
                domain,
                incarnation,
                relay,
                is_replacing: false,
            });
        }
        Ok(endpoints)
    }

    /// Returns all incarnations, including those that have ended.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        lock(&self.incarnations).clone()
    }

    /// Returns the ids of the running endpoints that got no request.
    pub fn unused(&self) -> Vec<String> {
        let running: Vec<usize> = lock(&self.slots).iter().map(|s| s.incarnation).collect();
        let incarnations = lock(&self.incarnations);
        let endpoints = running.iter().map(|n| &incarnations[*n].endpoint);
        endpoints.filter(|e| e.seen().is_empty()).map(|e| e.id().to_owned()).collect()
    }

    /// Applies a link fault to an endpoint for the given time.
    pub async fn fail_link(&self, slot: usize, link: Link, time: Duration) {
        let (incarnation, relay) = {
            let slots = lock(&self.slots);
            (slots[slot].incarnation, Arc::clone(&slots[slot].relay))
        };
        let now = Instant::now();
        lock(&self.incarnations)[incarnation].link_faults.push((now, now + time));
        relay.set(link);
        sleep(time).await;
        relay.set(Link::Open);
    }

    /// Sets an endpoint's behaviour for the given time.
    pub async fn misbehave(&self, slot: usize, behaviour: Behaviour, time: Duration) {
        let (incarnation, service) = {
            let slots = lock(&self.slots);
            (slots[slot].incarnation, slots[slot].service)
        };
        self.add_fault(incarnation, time);
        let endpoint = lock(&self.incarnations)[incarnation].endpoint.clone();
        endpoint.set(behaviour);
        sleep(time).await;
        endpoint.set(normal_behaviour(service));
    }

    /// Makes an endpoint state a rate limit, another one after half of the time, and then none.
    pub async fn limit_rate(&self, slot: usize, limits: (f64, f64), time: Duration) {
        let endpoint = self.endpoint(slot);
        endpoint.notices().set_limit(Some(limits.0));
        sleep(time / 2).await;
        endpoint.notices().set_limit(Some(limits.1));
        sleep(time / 2).await;
        endpoint.notices().set_limit(None);
    }

    /// Makes an endpoint reject all requests for the given time and ask its callers to wait.
    pub async fn reject(&self, slot: usize, backoff: Duration, time: Duration) {
        let endpoint = self.endpoint(slot);
        endpoint.notices().set_backoff(Some(backoff));
        self.misbehave(slot, Behaviour::Shed, time).await;
        endpoint.notices().set_backoff(None);
    }

    fn endpoint(&self, slot: usize) -> Endpoint {
        let incarnation = lock(&self.slots)[slot].incarnation;
        lock(&self.incarnations)[incarnation].endpoint.clone()
    }

    /// Removes an endpoint, with or without a leave notice, ends it after a delay and replaces it.
    pub async fn leave(
        &self,
        slot: usize,
        is_announced: bool,
        leave_delay: Duration,
    ) -> anyhow::Result<()> {
        let Some(incarnation) = self.claim_slot(slot) else { return Ok(()) };
        let (id, entry) = self.entry(slot);
        let endpoint = self.endpoint(slot);
        if is_announced {
            endpoint.notices().set_leaving(true);
            endpoint.announce_leave(leave_delay);
            self.store.put("servers", &id, entry.with_leaving(true).content());
        } else {
            self.store.remove("servers", &id);
        }
        lock(&self.incarnations)[incarnation].left_at = Some(Instant::now());
        sleep(leave_delay).await;
        self.terminate(incarnation, &endpoint);
        self.store.remove("servers", &id);
        sleep(REPLACEMENT_DELAY).await;
        self.replace(slot, None).await
    }

    /// Crashes an endpoint and replaces it under its old id or a new one.
    pub async fn crash(&self, slot: usize, keeps_id: bool) -> anyhow::Result<()> {
        let Some(incarnation) = self.claim_slot(slot) else { return Ok(()) };
        let (id, _) = self.entry(slot);
        let endpoint = self.endpoint(slot);
        self.terminate(incarnation, &endpoint);
        sleep(ENTRY_EXPIRY).await;
        if !keeps_id {
            self.store.remove("servers", &id);
            lock(&self.incarnations)[incarnation].left_at = Some(Instant::now());
        }
        sleep(REPLACEMENT_DELAY).await;
        self.replace(slot, keeps_id.then_some(id)).await
    }

    /// Ends an incarnation and records it as faulty from that moment on.
    fn terminate(&self, incarnation: usize, endpoint: &Endpoint) {
        self.add_fault(incarnation, Duration::from_hours(1));
        lock(&self.incarnations)[incarnation].gone_at = Some(Instant::now());
        endpoint.kill();
    }

    /// Claims a slot's endpoint for replacement, unless it is already being replaced.
    fn claim_slot(&self, slot: usize) -> Option<usize> {
        let mut slots = lock(&self.slots);
        let is_free = !slots[slot].is_replacing;
        slots[slot].is_replacing = true;
        is_free.then_some(slots[slot].incarnation)
    }

    fn entry(&self, slot: usize) -> (String, Entry) {
        let slots = lock(&self.slots);
        let slot = &slots[slot];
        let id = lock(&self.incarnations)[slot.incarnation].endpoint.id().to_owned();
        let mut entry = Entry::new(slot.service, slot.relay.address);
        slot.domain.clone_into(&mut entry.domain);
        entry.born = slot.incarnation as u64 + 1;
        entry.version.clone_from(&lock(&self.incarnations)[slot.incarnation].version);
        (id, entry)
    }

    async fn replace(&self, slot: usize, id: Option<String>) -> anyhow::Result<()> {
        let (service, domain) = {
            let slots = lock(&self.slots);
            (slots[slot].service, slots[slot].domain)
        };
        let cold = if service == "writers" { COLD_START } else { Duration::ZERO };
        let (incarnation, relay) = self.start_incarnation(slot, service, domain, id, cold).await?;
        let mut slots = lock(&self.slots);
        slots[slot].incarnation = incarnation;
        slots[slot].relay = Arc::new(relay);
        slots[slot].is_replacing = false;
        Ok(())
    }

    async fn start_incarnation(
        &self,
        slot: usize,
        service: &'static str,
        domain: &'static str,
        id: Option<String>,
        cold: Duration,
    ) -> anyhow::Result<(usize, Relay)> {
        let number = lock(&self.incarnations).len();
        let version = self.next_version(service, id.as_deref());
        let id = id.unwrap_or_else(|| format!("e-{slot}-{number}"));
        let endpoint = Endpoint::start(&id, normal_behaviour(service), &self.generations).await?;
        let relay = Relay::start(endpoint.address)?;
        endpoint.set_advertised_address(relay.address);
        endpoint.set_version(&version);
        let cold_until = (!cold.is_zero()).then(|| Instant::now() + cold);
        let incarnation = {
            let mut incarnations = lock(&self.incarnations);
            incarnations.push(Incarnation {
                endpoint,
                domain,
                left_at: None,
                gone_at: None,
                cold_until,
                faults: Vec::new(),
                link_faults: Vec::new(),
                silences: Vec::new(),
                version: version.clone(),
            });
            incarnations.len() - 1
        };
        let mut entry = Entry::new(service, relay.address).with_version(&version);
        domain.clone_into(&mut entry.domain);
        entry.cold_ms = u64::try_from(cold.as_millis())?;
        entry.born = incarnation as u64 + 1;
        self.store.put("servers", &id, entry.content());
        Ok((incarnation, relay))
    }

    /// Returns the software version of an endpoint that starts: that of its predecessor if it keeps the
    /// id.
    fn next_version(&self, service: &str, id: Option<&str>) -> String {
        let incarnations = lock(&self.incarnations);
        let mut predecessors = incarnations.iter().rev();
        if let Some(predecessor) = predecessors.find(|i| Some(i.endpoint.id()) == id) {
            return predecessor.version.clone();
        }
        let is_engine = service == "writers";
        let number = if is_engine { self.engine_version.load(Ordering::Relaxed) } else { 1 };
        format!("v{number}")
    }

    fn add_fault(&self, incarnation: usize, time: Duration) {
        let now = Instant::now();
        lock(&self.incarnations)[incarnation].faults.push((now, now + time));
    }
}

fn overlaps(periods: &[(Instant, Instant)], start: Instant, end: Instant) -> bool {
    periods.iter().any(|(from, until)| *from <= end && *until >= start)
}

/// Returns the behaviour of a healthy endpoint.
const fn normal_behaviour(service: &str) -> Behaviour {
    match service.as_bytes() {
        b"writers" => Behaviour::Stream { events: EVENTS_PER_STREAM, pause: EVENT_INTERVAL },
        _ => Behaviour::Answer,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
