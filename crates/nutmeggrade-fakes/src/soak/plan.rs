//! How long and with how many of what a soak runs.

use std::time::Duration;

/// How long and with how many of what a soak runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Decides all that is drawn.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Duration,
    /// Instances of nutmeggrade; fifteen at most.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Clients.
    pub clients: usize,
    /// Mean time between two faults, in milliseconds. They last up to four seconds: by default several
    /// overlap, and with long gaps instances are calm for long enough to be held to times.
    pub gap_ms: u64,
    /// Whether promises that name a time are checked. They say nothing on a machine that is too
    /// busy to run everybody in time.
    pub is_timed: bool,
}

impl Plan {
    /// Makes the plan of a seed: four instances, four engines, two services, twelve seconds.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            length: Duration::from_secs(12),
            instances: 4,
            engines: 4,
            services: 2,
            clients: 16,
            gap_ms: 350,
            is_timed: true,
        }
    }

    /// Sets the time in which faults begin.
    #[must_use]
    pub const fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the number of instances; clients grow with them.
    #[must_use]
    pub const fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self.clients = instances * 4;
        self
    }

    /// Sets the mean time between two faults, in milliseconds.
    #[must_use]
    pub const fn with_gap(mut self, gap_ms: u64) -> Self {
        self.gap_ms = gap_ms;
        self
    }

    /// Leaves out promises that name a time.
    #[must_use]
    pub const fn untimed(mut self) -> Self {
        self.is_timed = false;
        self
    }
}
