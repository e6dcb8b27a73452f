//! Hold times of watches and delays between calls to the store.

use std::time::Duration;

use nutmeggrade_wire::kinds::Kind;

/// Hold time of a watch. A connection that has gone silent is noticed only once its response is
/// overdue; peers' heartbeats reveal missed changes earlier.
const WATCH_HOLD: Duration = Duration::from_secs(4);
/// Hold time of the first reader's endpoint watch. While the store is unavailable, engines that are
/// leaving are detected by polling them, and their notice of two seconds has to cover detecting the
/// outage, polling, and copying the generations that run there.
const FIRST_READER_ENDPOINTS_HOLD: Duration = Duration::from_secs(1);
/// Hold time of the other readers' watches of the configuration and of evacuated failure domains.
/// They only back up the first reader, and each watch that expires without a change is a billed
/// call.
const BACKUP_HOLD: Duration = Duration::from_secs(29);
/// Hold time of the first reader's rollout watch: rollouts are rare and allow time.
const FIRST_READER_ROLLOUTS_HOLD: Duration = Duration::from_secs(10);
/// Time for which the first reader batches endpoint changes before its next watch. It is a small
/// part of the two seconds during which a leaving endpoint may still get work.
const FIRST_READER_BATCH_DELAY: Duration = Duration::from_millis(50);
/// Batching time of the other readers, whose changes only count when the first reader's are lost.
const BACKUP_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Initial delay after a failed call.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay between two calls of a leader while the store is unavailable. The platform counts
/// calls, and a second is well within the times in which changes have to take effect.
const MAX_LEADER_BACKOFF: Duration = Duration::from_secs(1);
/// Longest delay of an instance that is not a leader. Leaders detect that the store is back, and
/// their heartbeats announce changes.
const MAX_NON_LEADER_BACKOFF: Duration = Duration::from_secs(4);
/// Longest delay of a non-leader while no peer can read the store either. Leaders keep calling, and
/// their heartbeats show when it is back; this is the fallback for when they don't.
const MAX_OUTAGE_BACKOFF: Duration = Duration::from_secs(10);
/// Failures up to which the delay doubles; it exceeds every limit by then.
const MAX_DOUBLINGS: u32 = 7;

/// Role of an instance whose call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRole {
    /// A candidate for reading the store on behalf of the fleet.
    Leader,
    /// Another instance, while a peer can read the store.
    NonLeader,
    /// Another instance, while no peer can read the store.
    NonLeaderInOutage,
}

/// Returns how long the store may hold a watch. `is_first` is set for the first reader.
pub const fn hold_time(kind: Kind, is_first: bool) -> Duration {
    match (kind, is_first) {
        (Kind::Endpoints, true) => FIRST_READER_ENDPOINTS_HOLD,
        (Kind::Rollouts, true) => FIRST_READER_ROLLOUTS_HOLD,
        (Kind::Endpoints, false) | (_, true) => WATCH_HOLD,
        (_, false) => BACKUP_HOLD,
    }
}

/// Returns how long changes are batched before the next watch.
pub const fn batch_delay(kind: Kind, is_first: bool) -> Duration {
    match (kind, is_first) {
        (Kind::Endpoints, true) => FIRST_READER_BATCH_DELAY,
        (_, true) => Duration::ZERO,
        (_, false) => BACKUP_BATCH_DELAY,
    }
}

/// Returns the longest delay after a number of consecutive failures; the caller applies jitter.
pub fn max_backoff(failures: u32, role: RetryRole) -> Duration {
    let longest = match role {
        RetryRole::Leader => MAX_LEADER_BACKOFF,
        RetryRole::NonLeader => MAX_NON_LEADER_BACKOFF,
        RetryRole::NonLeaderInOutage => MAX_OUTAGE_BACKOFF,
    };
    INITIAL_BACKOFF.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(longest)
}
