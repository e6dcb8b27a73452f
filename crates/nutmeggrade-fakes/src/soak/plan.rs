//! The size, duration and seed of a soak.

use std::time::Duration;

/// The size, duration and seed of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the random choices.
    pub seed: u64,
    /// Period in which faults are started.
    pub length: Duration,
    /// Number of nutmeggrade instances; at most 15.
    pub instances: usize,
    /// Number of inference engines.
    pub engines: usize,
    /// Number of plain service endpoints.
    pub services: usize,
    /// Number of clients.
    pub clients: usize,
    /// Mean time between the starts of two faults, in milliseconds. Faults last up to four seconds: by
    /// default several overlap; with long gaps, instances are free of faults for long enough that the
    /// time limits apply to them.
    pub gap_ms: u64,
    /// Time that instances have from SIGTERM to their exit.
    pub grace: Duration,
    /// Timeout of the routes.
    pub timeout: Duration,
    /// Whether endpoints limit their rates and ask for pauses.
    pub has_notices: bool,
    /// Whether engines end streams early, also in ways that look like their end.
    pub ends_streams: bool,
    /// Mean time between two changes whose notice the store loses, in milliseconds; `None` if it loses
    /// none.
    pub lost_changes_ms: Option<u64>,
    /// Mean time between two silences of sound endpoints, or series of stops with silences, in
    /// milliseconds.
    pub silences_ms: Option<u64>,
    /// Mean time between two releases of engines, in milliseconds.
    pub releases_ms: Option<u64>,
    /// Mean time between two entries that can't be used, in milliseconds.
    pub odd_entries_ms: Option<u64>,
    /// Mean time between two series of stops in which no instance serves for a while, in milliseconds.
    pub overlaps_ms: Option<u64>,
    /// One client in this many reads slowly; `None` if none does.
    pub slow_interval: Option<usize>,
    /// Whether guarantees with a time limit are checked. On an overloaded machine, processes are
    /// scheduled too late for these checks to be meaningful.
    pub is_timed: bool,
}

impl Plan {
    /// Creates the default plan for a seed: four instances, four engines, two services, twelve seconds.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            length: Duration::from_secs(12),
            instances: 4,
            engines: 4,
            services: 2,
            clients: 16,
            gap_ms: 350,
            grace: Duration::from_secs(4),
            timeout: Duration::from_secs(8),
            has_notices: false,
            ends_streams: false,
            lost_changes_ms: None,
            silences_ms: None,
            releases_ms: None,
            odd_entries_ms: None,
            overlaps_ms: None,
            slow_interval: None,
            is_timed: true,
        }
    }

    /// Sets the period in which faults are started.
    #[must_use]
    pub const fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the number of instances and four times as many clients.
    #[must_use]
    pub const fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self.clients = instances * 4;
        self
    }

    /// Sets the mean time between the starts of two faults, in milliseconds.
    #[must_use]
    pub const fn with_gap(mut self, gap_ms: u64) -> Self {
        self.gap_ms = gap_ms;
        self
    }

    /// Lets endpoints limit their rates and ask for pauses.
    #[must_use]
    pub const fn with_notices(mut self) -> Self {
        self.has_notices = true;
        self
    }

    /// Lets engines end streams early, also in ways that look like their end.
    #[must_use]
    pub const fn with_stream_ends(mut self) -> Self {
        self.ends_streams = true;
        self
    }

    /// Lets the store lose the notices of some changes, with this mean time between two of them.
    #[must_use]
    pub const fn with_lost_changes(mut self, mean_gap_ms: u64) -> Self {
        self.lost_changes_ms = Some(mean_gap_ms);
        self
    }

    /// Lets sound endpoints fall silent, also around changes and series of stops, with this mean time
    /// between two such events. Stops take longer, so that they overlap.
    #[must_use]
    pub const fn with_silences(mut self, mean_gap_ms: u64) -> Self {
        self.silences_ms = Some(mean_gap_ms);
        self.grace = Duration::from_secs(8);
        self
    }

    /// Releases new versions of the engines, also beside kills of nearly all instances, with this mean
    /// time between two releases.
    #[must_use]
    pub const fn with_releases(mut self, mean_gap_ms: u64) -> Self {
        self.releases_ms = Some(mean_gap_ms);
        self
    }

    /// Lets another writer put entries that can't be used into the store, with this mean time between
    /// two of them.
    #[must_use]
    pub const fn with_odd_entries(mut self, mean_gap_ms: u64) -> Self {
        self.odd_entries_ms = Some(mean_gap_ms);
        self
    }

    /// Stops all instances one shortly after the other while engines preempt what they run, with this mean
    /// time between two such series. Streams have a deadline after the end of the instances.
    #[must_use]
    pub const fn with_overlapping_stops(mut self, mean_gap_ms: u64) -> Self {
        self.overlaps_ms = Some(mean_gap_ms);
        self.grace = Duration::from_secs(12);
        self.timeout = Duration::from_secs(20);
        self
    }

    /// Lets one client in four read slowly.
    #[must_use]
    pub const fn with_slow_clients(mut self) -> Self {
        self.slow_interval = Some(4);
        self
    }

    /// Disables the checks of guarantees with a time limit.
    #[must_use]
    pub const fn without_time_limits(mut self) -> Self {
        self.is_timed = false;
        self
    }
}
