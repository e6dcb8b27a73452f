//! What goes wrong in a soak, and when.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::plan::Plan;
use crate::relay::Link;
use crate::site::{Behaviour, Fault};

/// Least time that an endpoint stays after it said that it leaves.
const LEAST_STAY: Duration = Duration::from_secs(2);

/// One thing that goes wrong, or that operators do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// An instance is killed and started again after a while.
    Kill(usize, Duration),
    /// An instance stands still.
    Pause(usize, Duration),
    /// An instance is stopped as planned, and started again.
    Stop(usize),
    /// An instance gets other settings, with a signal or without.
    Reload(usize, bool),
    /// The store treats one instance, or all, like this.
    Store(Option<usize>, Fault, Duration),
    /// The store forgets its history.
    Forget,
    /// The link to an endpoint fails.
    Link(usize, Link, Duration),
    /// An endpoint does this with what it gets.
    Misbehave(usize, Behaviour, Duration),
    /// An endpoint says that it leaves, goes after a while, and another one comes.
    Drain(usize, Duration),
    /// An endpoint's entry goes without a word, and a while after it the endpoint.
    Vanish(usize, Duration),
    /// An endpoint crashes, and comes back as another one or under its old id.
    Crash(usize, bool),
    /// Operators write a new configuration.
    Change,
    /// Operators take a failure domain out for a while.
    Out(usize, Duration),
}

/// Draws when what happens.
pub fn draw(plan: &Plan, rng: &mut ChaCha8Rng) -> Vec<(Duration, Act)> {
    let mut at = Duration::from_millis(500);
    let mut acts = Vec::new();
    while at < plan.length {
        acts.push((at, one(plan, rng)));
        at += Duration::from_millis(rng.random_range(0..2 * plan.gap_ms));
    }
    acts
}

fn one(plan: &Plan, rng: &mut ChaCha8Rng) -> Act {
    let instance = rng.random_range(0..plan.instances);
    let endpoint = rng.random_range(0..plan.engines + plan.services);
    let time = Duration::from_millis(rng.random_range(100..4_000));
    // Some stay for much longer than the time after which they get nothing new.
    let stay = LEAST_STAY + time;
    match rng.random_range(0..100) {
        0..8 => Act::Kill(instance, time.min(Duration::from_secs(1))),
        8..16 => Act::Pause(instance, time),
        16..25 => Act::Stop(instance),
        25..30 => Act::Reload(instance, rng.random_bool(0.7)),
        30..42 => Act::Store(rng.random_bool(0.6).then_some(instance), fault(rng), time),
        42..46 => Act::Forget,
        46..56 => Act::Link(endpoint, link(rng), time),
        56..68 => Act::Misbehave(endpoint, behaviour(rng), time),
        68..77 => Act::Drain(endpoint, stay),
        77..81 => Act::Vanish(endpoint, stay),
        81..88 => Act::Crash(endpoint, rng.random_bool(0.3)),
        88..96 => Act::Change,
        _ => Act::Out(rng.random_range(0..super::lives::DOMAINS.len()), time),
    }
}

fn fault(rng: &mut ChaCha8Rng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Refuse,
        1 => Fault::Silent,
        2 => Fault::Slow(Duration::from_millis(rng.random_range(50..1_500))),
        _ => Fault::Lost,
    }
}

fn link(rng: &mut ChaCha8Rng) -> Link {
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

fn behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    const ALL: [Behaviour; 12] = [
        Behaviour::Shed,
        Behaviour::Fail,
        Behaviour::Close,
        Behaviour::Truncate,
        Behaviour::Unframed,
        Behaviour::UnframedReset,
        Behaviour::Extra,
        Behaviour::Crossed,
        Behaviour::Unsigned,
        Behaviour::Early,
        Behaviour::Misdirect,
        Behaviour::Hang,
    ];
    match rng.random_range(0..ALL.len() + 2) {
        n if n < ALL.len() => ALL[n],
        n if n == ALL.len() => Behaviour::Slow(Duration::from_millis(rng.random_range(50..900))),
        _ => Behaviour::StreamCut { events: rng.random_range(1..80) },
    }
}
