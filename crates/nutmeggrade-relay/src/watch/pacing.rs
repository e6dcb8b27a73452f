//! How long those who read the store wait between their calls.

use std::time::Duration;

use nutmeggrade_wire::kinds::Kind;

/// How long the store holds a watch back. A connection that has gone silent is noticed only when
/// its answer is overdue; peers' heartbeats tell earlier if there was news.
const HELD: Duration = Duration::from_secs(4);
/// The same for endpoints at the first of those that read for all. While the store is away engines
/// that leave are asked themselves, and their notice of two seconds has to be enough to find out that
/// it is away, to ask them and to copy what runs there.
const HELD_FIRST: Duration = Duration::from_secs(1);
/// The same for the configuration and the failure domains that are out at the other readers. They are there
/// for news that the first one misses, and each time that a watch is held back in vain is paid for.
const HELD_LONG: Duration = Duration::from_secs(29);
/// The same for roll-outs at the first reader: orders are rare, and an order gives time.
const HELD_ROLLOUTS: Duration = Duration::from_secs(10);
/// Time in which changes of endpoints gather before the first reader asks for more. It is a small part
/// of the two seconds for which an endpoint that leaves may still get work.
const GATHER: Duration = Duration::from_millis(50);
/// The same for the other readers, whose news count only when the first one's are lost.
const GATHER_LONG: Duration = Duration::from_millis(400);
/// First wait after a call that failed.
pub const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Longest wait between two calls while the store can't be read. Calls are counted by the platform,
/// and a second is within every time in which changes have to be in force.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of an instance that does not read for all. Those that do find out that the store is
/// back, and their heartbeats tell of news.
const LONGEST_TOLD: Duration = Duration::from_secs(4);
/// The same while no peer can read the store either. Those that lead go on calling, and their
/// heartbeats tell when it is back; this is for the case that they don't.
const LONGEST_OUTAGE: Duration = Duration::from_secs(10);
/// Failures up to which the wait doubles; it is longer than any bound by then.
const MOST_DOUBLED: u32 = 7;

/// Who asks a store that did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asker {
    /// One of those that read for all.
    Leader,
    /// Another one, while a peer can read the store.
    Told,
    /// Another one, while no peer can.
    ToldLater,
}

/// Returns how long the store may hold a watch back. `is_first` says whether the caller is the first of
/// those that read for all.
pub const fn held(kind: Kind, is_first: bool) -> Duration {
    match (kind, is_first) {
        (Kind::Endpoints, true) => HELD_FIRST,
        (Kind::Rollouts, true) => HELD_ROLLOUTS,
        (Kind::Endpoints, false) | (_, true) => HELD,
        (_, false) => HELD_LONG,
    }
}

/// Returns how long further changes gather before the next watch.
pub const fn gather(kind: Kind, is_first: bool) -> Duration {
    match (kind, is_first) {
        (Kind::Endpoints, true) => GATHER,
        (_, true) => Duration::ZERO,
        (_, false) => GATHER_LONG,
    }
}

/// Returns the longest wait after a number of failures in a row; a part of it is drawn.
pub fn retry(failures: u32, asker: Asker) -> Duration {
    let longest = match asker {
        Asker::Leader => LONGEST_WAIT,
        Asker::Told => LONGEST_TOLD,
        Asker::ToldLater => LONGEST_OUTAGE,
    };
    FIRST_WAIT.saturating_mul(1 << failures.min(MOST_DOUBLED)).min(longest)
}
