//! Figures of a simulated burst.

/// What a simulated burst showed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BurstFigures {
    /// Requests that were sent to an engine.
    pub sent: usize,
    /// Requests that an engine began again after it had preempted them.
    pub run_again: usize,
    /// Leases that were granted.
    pub granted: usize,
    /// Leases that were refused.
    pub refused: usize,
    /// Time from the send of each request until its engine began it, in milliseconds, ascending.
    pub begin_waits: Vec<u64>,
    /// Time from the send of each request to its first event, less the time for its prompt, in
    /// milliseconds, ascending.
    pub first_waits: Vec<u64>,
}

impl BurstFigures {
    /// Adds the figures of another burst.
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.run_again += other.run_again;
        self.granted += other.granted;
        self.refused += other.refused;
        self.begin_waits.extend(other.begin_waits);
        self.first_waits.extend(other.first_waits);
        self.begin_waits.sort_unstable();
        self.first_waits.sort_unstable();
    }

    /// Returns the 99th percentile of sorted times, or zero of none.
    pub fn percentile_99(times: &[u64]) -> u64 {
        times.get(times.len() * 99 / 100).or_else(|| times.last()).copied().unwrap_or_default()
    }
}
