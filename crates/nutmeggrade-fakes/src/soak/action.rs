//! The faults and operator actions of a soak, and their schedule.

mod odd_entries;
mod overlapping_stops;
mod releases;
mod silences;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::endpoints::EVENTS_PER_STREAM;
use super::odd_entry::OddEntry;
use super::plan::Plan;
use crate::relay::Link;
use crate::site::{Behaviour, Fault, StreamEnd};

pub use odd_entries::draw_odd_entries;
pub use overlapping_stops::draw_overlapping_stops;
pub use releases::draw_releases;
pub use silences::draw_silences;

/// Shortest time from an endpoint's leave notice to its exit.
const MIN_LEAVE_DELAY: Duration = Duration::from_secs(2);

/// Mean time between two moments at which an endpoint asks something of its callers.
const MEAN_NOTICE_GAP_MS: u64 = 1_200;
/// Mean time between two moments at which an engine begins to end streams early.
const MEAN_STREAM_END_GAP_MS: u64 = 1_500;

/// Separates the random numbers of lost changes from those of the other actions.
const LOST_CHANGES_STREAM: u64 = 0x9e37_79b9_7f4a_7c15;

/// One injected fault or operator action.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Kills an instance and starts it again after the given time.
    Kill(usize, Duration),
    /// Suspends an instance with SIGSTOP for the given time.
    Pause(usize, Duration),
    /// Stops an instance gracefully and starts it again.
    Stop(usize),
    /// Changes an instance's settings file; `true` sends SIGHUP as well.
    Reload(usize, bool),
    /// Applies a store fault to one instance, or to all.
    FailStore(Option<usize>, Fault, Duration),
    /// Writes a new configuration whose notice is lost: the responses of the calls about
    /// configurations that wait at the store, or of all calls that wait there.
    LoseChange(LostCalls),
    /// Drops the store's change history.
    DropHistory,
    /// Applies a link fault to the connections of an endpoint.
    FailLink(usize, Link, Duration),
    /// Sets how an endpoint handles requests.
    Misbehave(usize, Behaviour, Duration),
    /// Makes an endpoint state two rate limits, in tenths of a request per second, one after the
    /// other, each for half of the time.
    LimitRate(usize, (u32, u32), Duration),
    /// Makes an endpoint reject all requests, with the first duration as `Retry-After`, for the
    /// second one.
    Reject(usize, Duration, Duration),
    /// Announces an endpoint's leave, ends it after the given time and replaces it.
    Drain(usize, Duration),
    /// Removes an endpoint's entry without a leave notice and ends the endpoint after the given time.
    Deregister(usize, Duration),
    /// Crashes an endpoint; `true` restarts it under its old id, `false` under a new one.
    Crash(usize, bool),
    /// Writes a new configuration.
    ChangeConfig,
    /// Evacuates a failure domain for the given time.
    Evacuate(usize, Duration),
    /// Lets sound endpoints fall silent for the given time.
    Silence(Silenced, Duration),
    /// Starts engines of a new version and lets old ones leave.
    Release(Release),
    /// Kills all instances at once, or all but one, and starts them again after the given time.
    KillAll(Option<usize>, Duration),
    /// Writes an entry that can't be used among the endpoints or the evacuated failure domains, and
    /// removes it after the given time, if any.
    WriteOddEntry {
        /// The entry.
        entry: OddEntry,
        /// Whether it stands among the evacuated failure domains.
        is_evacuation: bool,
        /// Time after which it is removed.
        stay: Option<Duration>,
    },
}

/// Endpoints that fall silent together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silenced {
    /// The endpoint in a slot.
    One(usize),
    /// All engines.
    Engines,
    /// All plain services.
    Services,
}

/// A release of a new software version of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// Slot of the first engine that is replaced.
    pub first: usize,
    /// Number of engines that are replaced.
    pub count: usize,
    /// Whether the old engines announce that they leave.
    pub is_announced: bool,
    /// Time for which old and new engines serve side by side.
    pub overlap: Duration,
    /// Time from the leave of the old engines to their exit.
    pub leave_delay: Duration,
}

/// Calls to the store whose responses are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCalls {
    /// Calls about configurations.
    Config,
    /// Calls about any kind of object.
    All,
}

impl LostCalls {
    /// Returns the kinds of objects that the calls are about, as in the store's paths.
    pub const fn kinds(self) -> &'static [&'static str] {
        match self {
            Self::Config => &["config"],
            Self::All => &["config", "servers", "evacuations", "rollouts"],
        }
    }
}

/// Draws the actions of a soak, each with its time since the start.
pub fn draw_schedule(plan: &Plan, rng: &mut ChaCha8Rng) -> Vec<(Duration, Action)> {
    let mut at = Duration::from_millis(500);
    let mut actions = Vec::new();
    while at < plan.length {
        actions.push((at, draw_action(plan, rng)));
        at += Duration::from_millis(rng.random_range(0..2 * plan.gap_ms));
    }
    actions
}

fn draw_action(plan: &Plan, rng: &mut ChaCha8Rng) -> Action {
    let instance = rng.random_range(0..plan.instances);
    let endpoint = rng.random_range(0..plan.engines + plan.services);
    let time = Duration::from_millis(rng.random_range(100..4_000));
    // Some endpoints stay much longer than the limit after which they get no new requests.
    let leave_delay = MIN_LEAVE_DELAY + time;
    match rng.random_range(0..100) {
        0..8 => Action::Kill(instance, time.min(Duration::from_secs(1))),
        8..16 => Action::Pause(instance, time),
        16..25 => Action::Stop(instance),
        25..30 => Action::Reload(instance, rng.random_bool(0.7)),
        30..42 => {
            Action::FailStore(rng.random_bool(0.6).then_some(instance), draw_store_fault(rng), time)
        }
        42..46 => Action::DropHistory,
        46..56 => Action::FailLink(endpoint, draw_link_fault(rng), time),
        56..68 => Action::Misbehave(endpoint, draw_behaviour(rng), time),
        68..77 => Action::Drain(endpoint, leave_delay),
        77..81 => Action::Deregister(endpoint, leave_delay),
        81..88 => Action::Crash(endpoint, rng.random_bool(0.3)),
        88..96 => Action::ChangeConfig,
        _ => Action::Evacuate(rng.random_range(0..super::endpoints::DOMAINS.len()), time),
    }
}

/// Draws what endpoints ask of their callers, from random numbers of its own: the other actions of a
/// seed stay as they are without it.
pub fn draw_notices(plan: &Plan) -> Vec<(Duration, Action)> {
    draw_apart(plan, !plan.seed, MEAN_NOTICE_GAP_MS, draw_notice)
}

/// Draws engines that end streams early, from random numbers of its own as well.
pub fn draw_stream_ends(plan: &Plan) -> Vec<(Duration, Action)> {
    draw_apart(plan, plan.seed.rotate_left(32), MEAN_STREAM_END_GAP_MS, draw_stream_end)
}

/// Draws changes whose notice is lost, from random numbers of its own. Before some of them an instance
/// is killed, so that others have just begun to read the store in its place.
pub fn draw_lost_changes(plan: &Plan, mean_gap_ms: u64) -> Vec<(Duration, Action)> {
    let seed = plan.seed.wrapping_mul(LOST_CHANGES_STREAM);
    let changes = draw_apart(plan, seed, mean_gap_ms, |_, rng| {
        let lost = if rng.random_bool(0.5) { LostCalls::Config } else { LostCalls::All };
        Action::LoseChange(lost)
    });
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut actions = Vec::new();
    for (at, change) in changes {
        if rng.random_bool(0.5) {
            let before = Duration::from_millis(rng.random_range(200..4_000));
            let instance = rng.random_range(0..plan.instances);
            let down = Duration::from_millis(rng.random_range(100..6_000));
            actions.push((at.saturating_sub(before), Action::Kill(instance, down)));
        }
        actions.push((at, change));
    }
    actions
}

fn draw_apart(
    plan: &Plan,
    seed: u64,
    mean_gap_ms: u64,
    draw: fn(&Plan, &mut ChaCha8Rng) -> Action,
) -> Vec<(Duration, Action)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut actions = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(0..2 * mean_gap_ms));
        if at >= plan.length {
            return actions;
        }
        actions.push((at, draw(plan, &mut rng)));
    }
}

/// Draws the times of actions, and returns random numbers for the rest.
fn draw_times(plan: &Plan, seed: u64, mean_gap_ms: u64) -> (Vec<Duration>, ChaCha8Rng) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut times = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..2 * mean_gap_ms));
    while at < plan.length {
        times.push(at);
        at += Duration::from_millis(rng.random_range(0..2 * mean_gap_ms));
    }
    (times, rng)
}

/// Draws an end within an event, or one that breaks the connection: an end between two events that
/// closes it in order can't be told from that of a complete stream.
fn draw_stream_end(plan: &Plan, rng: &mut ChaCha8Rng) -> Action {
    const RESTS: [&str; 5] = ["i", "id: 77", "id: 77\n", "id: 77\nda", "id: 77\r\ndata: x\r\n"];
    const ENDS: [StreamEnd; 3] = [StreamEnd::LastChunk, StreamEnd::Closed, StreamEnd::Reset];
    let part = Behaviour::StreamPart {
        events: rng.random_range(0..EVENTS_PER_STREAM),
        rest: RESTS[rng.random_range(0..RESTS.len())],
        end: ENDS[rng.random_range(0..ENDS.len())],
    };
    let time = Duration::from_millis(rng.random_range(200..3_000));
    Action::Misbehave(rng.random_range(0..plan.engines), part, time)
}

fn draw_notice(plan: &Plan, rng: &mut ChaCha8Rng) -> Action {
    let endpoint = rng.random_range(0..plan.engines + plan.services);
    if rng.random_bool(0.6) {
        let limits = (rng.random_range(2..150), rng.random_range(2..150));
        Action::LimitRate(endpoint, limits, Duration::from_millis(rng.random_range(4_000..12_000)))
    } else {
        let backoff = Duration::from_millis(rng.random_range(300..4_000));
        Action::Reject(endpoint, backoff, Duration::from_millis(rng.random_range(500..5_000)))
    }
}

fn draw_store_fault(rng: &mut ChaCha8Rng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Refuse,
        1 => Fault::Silent,
        2 => Fault::Slow(Duration::from_millis(rng.random_range(50..1_500))),
        _ => Fault::DropResponse,
    }
}

fn draw_link_fault(rng: &mut ChaCha8Rng) -> Link {
    match rng.random_range(0..7) {
        0 => Link::Stalled,
        1 => Link::OneWay,
        2 => Link::Delayed(Duration::from_millis(rng.random_range(5..400))),
        3 => Link::Reset,
        4 => Link::Closed,
        5 => Link::CutRequest(rng.random_range(1..300)),
        _ => Link::CutAnswer(rng.random_range(1..900)),
    }
}

fn draw_behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    const ALL: [Behaviour; 12] = [
        Behaviour::Shed,
        Behaviour::Fail,
        Behaviour::Close,
        Behaviour::Truncate,
        Behaviour::CloseDelimited,
        Behaviour::CloseDelimitedReset,
        Behaviour::ExtraResponse,
        Behaviour::WrongAttemptId,
        Behaviour::Unsigned,
        Behaviour::EarlyResponse,
        Behaviour::Misdirect,
        Behaviour::Hang,
    ];
    match rng.random_range(0..ALL.len() + 2) {
        n if n < ALL.len() => ALL[n],
        n if n == ALL.len() => Behaviour::Slow(Duration::from_millis(rng.random_range(50..900))),
        _ => Behaviour::StreamCut { events: rng.random_range(1..80) },
    }
}
