//! What is known of the room that becomes free at the engines of a service.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::{CandidatePool, FreeRoom, LoadTable, RetrySchedule, RoomForecast, free_memory};

/// Interval between two checks of the requests that wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(90);
/// Age up to which the free room is used again. Reading it for each request of a burst takes longer
/// than the other parts of a decision.
const FREE_ROOM_AGE: Duration = Duration::from_millis(20);

/// Room that becomes free at the engines of a service, and the retries that are booked for it.
#[derive(Debug, Default)]
pub struct ServiceForecast {
    /// Forecast from the releases.
    pub room: RoomForecast,
    /// Retries of refused requests.
    pub schedule: RetrySchedule,
    free: Option<(Moment, Arc<FreeRoom>)>,
    checked_at: Option<Moment>,
}

impl ServiceForecast {
    /// Creates a forecast without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the free room, as after a change of the endpoints.
    pub fn reset_free(&mut self) {
        self.free = None;
    }

    /// Returns the free room at a service's endpoints.
    pub fn free(
        &mut self,
        pool: Option<&CandidatePool>,
        load_table: &LoadTable,
        rng: &mut ChaCha8Rng,
        now: Moment,
    ) -> Arc<FreeRoom> {
        let is_old = |(at, _): &(Moment, Arc<FreeRoom>)| now.since(*at) > FREE_ROOM_AGE;
        if self.free.as_ref().is_some_and(is_old) {
            self.free = None;
        }
        let read = || {
            let typical = pool.map(|p| p.typical(rng)).unwrap_or_default();
            let free = typical.into_iter().map(|c| free_memory(c, &load_table.load(&c.id)));
            (now, Arc::new(FreeRoom::new(free, pool.map_or(0, CandidatePool::len))))
        };
        Arc::clone(&self.free.get_or_insert_with(read).1)
    }

    /// Returns whether the requests that wait are due to be checked again, and if so counts this as
    /// the check.
    pub fn take_check(&mut self, now: Moment) -> bool {
        let is_due = self.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }
}
