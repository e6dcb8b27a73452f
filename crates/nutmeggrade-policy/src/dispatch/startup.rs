//! Requests that arrive before an instance can serve.

use std::time::Duration;

/// Longest time that a request waits for the start of an instance to end: a fleet of a thousand
/// starts in some three seconds.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(3);
/// Part of the time left that a request may wait, as a divisor; the rest is for its response, or for
/// another attempt.
const STARTUP_WAIT_DIVISOR: f64 = 2.5;

/// What an instance that has just started knows of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupView {
    /// Peers that were heard from recently.
    pub live_peers: usize,
    /// Those of them that can serve requests.
    pub serving_peers: usize,
    /// Whether the store has failed this instance's last call.
    pub is_store_unavailable: bool,
}

/// Returns how long a request may wait for an instance that has just started.
///
/// Load pattern: all instances are killed at once and clients come back at once, while the fleet
/// needs seconds to read what it serves. Whoever is refused then is refused again by the next
/// instance and has no attempt left. If most others can serve, the client is better off there; if
/// the store is unavailable, nobody knows when the start will end.
pub fn startup_wait(time_left: Duration, view: StartupView) -> Duration {
    let others_serve = view.serving_peers * 2 > view.live_peers;
    if others_serve || view.is_store_unavailable {
        return Duration::ZERO;
    }
    time_left.div_f64(STARTUP_WAIT_DIVISOR).min(MAX_STARTUP_WAIT)
}
