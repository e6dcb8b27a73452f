//! A day in virtual time: instances that tell each other what ran at endpoints that crashed, clients and
//! the network between them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::peer::{
    EndpointCrash, PartCrash, PartKey, Refutation, RequestSuspects, SharedCrash,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::crash_log::CrashLog;
use nutmeggrade_state::running_answers::RunningAnswers;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Length of a step of time.
const STEP_MS: u64 = 10;
/// Interval at which an instance looks for suspects that it can clear.
const REVIEW_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 250;
/// Peers that a heartbeat goes to, and crashes that it repeats of each kind.
const HEARTBEAT_PEERS: usize = 8;
const SHARED_CRASHES: usize = 4;
/// Time after which a client comes again, and share of them that do.
const RESEND_MS: u64 = 300;
const RESEND_SHARE: f64 = 0.5;

/// What crashes endpoints on a day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A part in so many requests a second, at the earliest and at the latest so many milliseconds after
    /// an answer begins.
    Part { per_s: f64, delay_ms: (u64, u64) },
    /// One endpoint every two seconds.
    Single,
    /// A third of the endpoints at once, three times.
    Domain,
    /// All endpoints at once, three times.
    Service,
}

/// A day and its size.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub instances: usize,
    pub endpoints: usize,
    pub seconds: u64,
    pub trouble: Trouble,
}

/// What was counted on a day.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Endpoints that the culprit ended.
    pub crashes: usize,
    /// Requests with the culprit that were sent later than a second after the fifth crash.
    pub late_sends: usize,
    /// Sound requests after the fifth crash and a second, and how many of them were refused.
    pub sound: usize,
    pub refused: usize,
    /// Sound requests of the whole day that were refused.
    pub all_refused: usize,
}

#[derive(Debug, Clone)]
struct Request {
    suspects: Arc<RequestSuspects>,
    is_culprit: bool,
    resends: u32,
    length_ms: u64,
}

#[derive(Debug, Clone)]
struct Answer {
    number: u64,
    instance: usize,
    request: Request,
    begun: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Crash(EndpointCrash),
    Refuted(Vec<Refutation>),
    Repeated(Vec<SharedCrash>, Vec<PartCrash>),
}

#[derive(Debug, Default)]
struct Endpoint {
    born: u64,
    back_at: u64,
    answers: Vec<Answer>,
}

pub struct World {
    day: Day,
    rng: StdRng,
    now: u64,
    logs: Vec<(CrashLog, RunningAnswers)>,
    endpoints: Vec<Endpoint>,
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    arrivals: BTreeMap<u64, Vec<Request>>,
    numbers: u64,
    fifth_crash: Option<u64>,
    outcome: Outcome,
}

fn key(part: u64) -> PartKey {
    let service = ServiceId::new("writers").expect("an id");
    PartKey::new(&service, &ModelId::new("m").expect("an id"), part)
}

impl World {
    /// Creates the world of a day, with all that is drawn from the seed.
    pub fn new(day: Day, seed: u64) -> Self {
        let logs = (0..day.instances).map(|_| (CrashLog::new(), RunningAnswers::new())).collect();
        Self {
            day,
            rng: StdRng::seed_from_u64(seed),
            now: 10_000,
            logs,
            endpoints: (0..day.endpoints).map(|_| Endpoint::default()).collect(),
            messages: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            numbers: 0,
            fifth_crash: None,
            outcome: Outcome::default(),
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Draws a request of one of twelve workspaces, with the workspace's part and that of a session.
    fn draw_request(&mut self, is_culprit: bool) -> Request {
        let workspace = self.rng.random_range(0..12_u64);
        let session = 1_000 * workspace + self.rng.random_range(0..200_u64);
        let mut parts = vec![key(workspace), key(session)];
        if is_culprit {
            parts.push(key(u64::MAX));
        }
        let fingerprint = self.rng.random::<u128>().to_le_bytes();
        let is_long = self.rng.random_bool(0.4);
        let length_ms = if is_long {
            self.rng.random_range(2_000..9_000)
        } else {
            self.rng.random_range(200..900)
        };
        let suspects = Arc::new(RequestSuspects::new(fingerprint, parts));
        Request { suspects, is_culprit, resends: 0, length_ms }
    }

    fn arrive(&mut self) {
        let load = self.day.endpoints as f64 * 1.2;
        let share = STEP_MS as f64 / 1_000.0;
        let mut requests = self.arrivals.remove(&self.now).unwrap_or_default();
        for _ in 0..count(load * share, &mut self.rng) {
            requests.push(self.draw_request(false));
        }
        if let Trouble::Part { per_s, .. } = self.day.trouble
            && self.now > 25_000
        {
            for _ in 0..count(per_s * share, &mut self.rng) {
                requests.push(self.draw_request(true));
            }
        }
        for request in requests {
            self.send(request);
        }
    }

    fn send(&mut self, request: Request) {
        let instance = self.rng.random_range(0..self.day.instances);
        let now = self.moment();
        let is_late = self.fifth_crash.is_some_and(|at| self.now > at + 1_000);
        let held = self.logs[instance].0.holds(&request.suspects, now).is_some();
        if !request.is_culprit {
            self.outcome.all_refused += usize::from(held);
            self.outcome.sound += usize::from(is_late);
            self.outcome.refused += usize::from(is_late && held);
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|n| self.endpoints[*n].back_at <= self.now).collect();
        if held || up.is_empty() {
            return;
        }
        self.outcome.late_sends += usize::from(request.is_culprit && is_late);
        let endpoint = up[self.rng.random_range(0..up.len())];
        self.numbers += 1;
        let number = self.numbers;
        self.logs[instance].1.begin(number, Arc::clone(&request.suspects), now);
        let answer = Answer { number, instance, request, begun: self.now };
        self.endpoints[endpoint].answers.push(answer);
    }

    fn run_endpoints(&mut self) {
        let now = self.now;
        for n in 0..self.endpoints.len() {
            let answers = &self.endpoints[n].answers;
            let crashes =
                answers.iter().any(|a| a.request.is_culprit && now >= a.begun + self.delay(a));
            if crashes {
                self.outcome.crashes += 1;
                if self.outcome.crashes == 5 {
                    self.fifth_crash = Some(now);
                }
                self.end(n);
                continue;
            }
            let (done, open): (Vec<Answer>, Vec<Answer>) =
                std::mem::take(&mut self.endpoints[n].answers)
                    .into_iter()
                    .partition(|a| !a.request.is_culprit && now >= a.begun + a.request.length_ms);
            let moment = Moment::from_millis(now);
            for answer in &open {
                self.logs[answer.instance].1.progress(answer.number, moment);
            }
            for answer in done {
                let (log, running) = &mut self.logs[answer.instance];
                running.end(answer.number);
                log.note_completed(&answer.request.suspects, moment);
            }
            self.endpoints[n].answers = open;
        }
        let due = |interval: u64| now.is_multiple_of(interval);
        let count = self.endpoints.len();
        let ending: Vec<usize> = match self.day.trouble {
            Trouble::Single if due(2_000) => vec![self.rng.random_range(0..count)],
            Trouble::Domain if due(12_000) => (0..count).filter(|n| n % 3 == 0).collect(),
            Trouble::Service if due(12_000) => (0..count).collect(),
            _ => Vec::new(),
        };
        for n in ending {
            self.end(n);
        }
    }

    /// Returns how long after its beginning an answer with the culprit crashes its endpoint.
    fn delay(&self, answer: &Answer) -> u64 {
        let Trouble::Part { delay_ms: (least, most), .. } = self.day.trouble else {
            return u64::MAX;
        };
        least + answer.number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (most - least + 1)
    }

    /// Ends an endpoint: its answers are lost, and their instances tell all others.
    fn end(&mut self, n: usize) {
        let endpoint = &mut self.endpoints[n];
        if endpoint.back_at > self.now {
            return;
        }
        let born = endpoint.born;
        endpoint.born += 1;
        endpoint.back_at = self.now + self.rng.random_range(2_500..4_500);
        let lost = std::mem::take(&mut endpoint.answers);
        let id = EndpointId::new(&format!("e-{n}")).expect("an id");
        for Answer { number, instance, request, begun } in lost {
            self.logs[instance].1.end(number);
            let alive = Duration::from_millis(self.now - begun);
            let RequestSuspects { request: fingerprint, parts } = (*request.suspects).clone();
            let crash =
                EndpointCrash { request: fingerprint, endpoint: id.clone(), born, parts, alive };
            let noticed_after = self.rng.random_range(0..3) * STEP_MS;
            self.deliver(instance, noticed_after, Message::Crash(crash.clone()));
            self.broadcast(instance, noticed_after, &Message::Crash(crash));
            if request.resends < 2 && self.rng.random_bool(RESEND_SHARE) {
                let again = Request { resends: request.resends + 1, ..request };
                self.arrivals.entry(self.now + RESEND_MS).or_default().push(again);
            }
        }
    }

    fn deliver(&mut self, to: usize, after: u64, message: Message) {
        let at = self.now + after + STEP_MS;
        self.messages.entry(at).or_default().push((to, message));
    }

    fn broadcast(&mut self, from: usize, after: u64, message: &Message) {
        for to in (0..self.day.instances).filter(|to| *to != from) {
            // Three datagrams in a hundred are lost.
            if self.rng.random_bool(0.97) {
                self.deliver(to, after, message.clone());
            }
        }
    }

    fn receive(&mut self) {
        let now = self.moment();
        for (to, message) in self.messages.remove(&self.now).unwrap_or_default() {
            let log = &mut self.logs[to].0;
            match message {
                Message::Crash(crash) => {
                    log.note(&crash, now);
                }
                Message::Refuted(all) => {
                    for refutation in &all {
                        log.note_refuted(refutation, now);
                    }
                }
                Message::Repeated(requests, parts) => {
                    for crash in &requests {
                        log.note_shared(crash, now);
                    }
                    for crash in &parts {
                        log.note_shared_part(crash, now);
                    }
                }
            }
        }
    }

    fn review(&mut self) {
        let now = self.moment();
        for n in 0..self.day.instances {
            let phase = self.now + STEP_MS * (n as u64 % 10);
            let (log, running) = &mut self.logs[n];
            if phase.is_multiple_of(REVIEW_MS) && log.has_suspects() {
                let refuted = log.take_refutations(running, now);
                if !refuted.is_empty() {
                    self.broadcast(n, 0, &Message::Refuted(refuted));
                }
            }
            let log = &mut self.logs[n].0;
            if phase.is_multiple_of(HEARTBEAT_MS) && log.has_suspects() {
                let requests = log.shared(SHARED_CRASHES, now);
                let parts = log.shared_parts(SHARED_CRASHES, now);
                for _ in 0..HEARTBEAT_PEERS.min(self.day.instances - 1) {
                    let to = self.rng.random_range(0..self.day.instances);
                    self.deliver(to, 0, Message::Repeated(requests.clone(), parts.clone()));
                }
            }
        }
    }

    /// Plays the day.
    pub fn play(mut self) -> Outcome {
        let end = self.now + self.day.seconds * 1_000;
        while self.now < end {
            self.receive();
            self.arrive();
            self.run_endpoints();
            self.review();
            self.now += STEP_MS;
        }
        self.outcome
    }
}

/// Draws a number of events with this mean.
fn count(mean: f64, rng: &mut StdRng) -> usize {
    let mut left = mean;
    let mut count = 0;
    while left > 0.0 {
        count += usize::from(rng.random_bool(left.min(1.0)));
        left -= 1.0;
    }
    count
}
