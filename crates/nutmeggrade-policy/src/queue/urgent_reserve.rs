//! Capacity kept free for urgent requests that are about to arrive.

use std::time::Duration;

/// Time in which information about an arrival reaches all instances.
const INFORMATION_TIME: Duration = Duration::from_millis(250);
/// Largest reserve, as a share of the capacity. A wrong rate must not stop less urgent requests.
const MAX_SHARE: f64 = 0.5;

/// Capacity that less urgent requests leave free for more urgent ones that are about to arrive.
///
/// Without it a less urgent request takes the last free capacity for many seconds a moment before
/// an urgent one arrives, which then waits for some generation to end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgentReserve {
    rate: f64,
    held: f64,
    hold_time: Duration,
}

impl UrgentReserve {
    /// Creates the reserve for requests of which `rate` memory arrives per second, `held` is placed
    /// now and each is held for `hold_time` on average.
    pub const fn new(rate: f64, held: f64, hold_time: Duration) -> Self {
        Self { rate, held, hold_time }
    }

    /// Returns the memory to keep free out of a total capacity.
    pub fn tokens(&self, capacity: u64) -> u64 {
        let missing = self.rate * self.hold_time.as_secs_f64() - self.held;
        let next = self.rate * INFORMATION_TIME.as_secs_f64();
        let most = capacity as f64 * MAX_SHARE;
        whole(missing.max(next).clamp(0.0, most))
    }
}

/// Returns a float that is not negative as an integer, cutting the fraction off.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
pub const fn whole(value: f64) -> u64 {
    value as u64
}
