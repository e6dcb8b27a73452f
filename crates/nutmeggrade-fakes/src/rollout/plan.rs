//! The parameters of a simulated rollout.

use std::time::Duration;

use nutmeggrade_policy::rollout::ExposureBound;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The defect of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Flaw {
    /// No defect.
    None,
    /// This share of the responses fails.
    Fails(f64),
    /// This share of the responses takes this many times as long.
    Slow(f64, f64),
    /// This share of the responses fails after this share of the order's duration.
    FailsLater(f64, f64),
    /// This share of the responses fails while the endpoint has at least this multiple of its usual
    /// load.
    FailsUnderLoad(f64, f64),
    /// This share of the responses on one route fails.
    FailsOnRoute(f64),
}

/// The fault injected during a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The instance that judges the rollout is killed and restarted.
    JudgeKilled,
    /// A failure domain is partitioned from the others.
    DomainPartitioned,
    /// The store is unavailable for six seconds.
    StoreUnavailable,
    /// All instances are killed and restarted.
    AllKilled,
}

impl Fault {
    /// Every variant, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::JudgeKilled,
        Self::DomainPartitioned,
        Self::StoreUnavailable,
        Self::AllKilled,
    ];
}

/// The parameters of a simulated rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of endpoints of each version.
    pub endpoints: usize,
    /// Concurrent requests per endpoint.
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// Whether responses are long streams.
    pub is_stream: bool,
    /// Time within which the rollout must be decided.
    pub duration: Duration,
    /// Time from the order to the fault.
    pub fault_at: Duration,
    /// The injected fault.
    pub fault: Fault,
    /// Defect of the new version.
    pub flaw: Flaw,
    /// Limit on the requests that a defective version may get.
    pub bound: ExposureBound,
}

impl Plan {
    /// Draws a plan for a fleet of `instances` instances.
    pub fn draw(seed: u64, instances: usize, fault: Fault, is_bad: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_stream = rng.random_bool(0.5);
        // Request rates and endpoint counts of the deployments of that size.
        let (stream_rate, call_rate, engines, services) = match instances {
            0..=10 => (11.0, 40.0, 12, 3),
            11..=30 => (14.0, 45.0, 12, 3),
            _ => (54.0, 111.0, 44, 5),
        };
        let duration = Duration::from_secs(rng.random_range(12..40));
        let share = rng.random_range(0.25..0.8);
        let flaws = [
            Flaw::Fails(share),
            Flaw::Slow(share, rng.random_range(3.0..8.0)),
            Flaw::FailsLater(share, rng.random_range(0.2..0.6)),
            Flaw::FailsUnderLoad(share, rng.random_range(0.3..1.0)),
            Flaw::FailsOnRoute(share),
        ];
        let flaw = flaws[rng.random_range(0..flaws.len())];
        Self {
            seed,
            instances,
            endpoints: if is_stream { engines } else { services },
            slots: if is_stream { 24 } else { 6 },
            rate: if is_stream { stream_rate } else { call_rate },
            is_stream,
            duration,
            fault_at: duration.mul_f64(rng.random_range(0.0..1.1)),
            fault,
            flaw: if is_bad { flaw } else { Flaw::None },
            bound: ExposureBound { share: 0.1, tolerance: 50.0 },
        }
    }

    /// Returns the share of an endpoint's slots that is usually in use.
    pub fn usual_load(&self) -> f64 {
        let request_seconds = if self.is_stream { 3.5 } else { 0.07 };
        self.rate * request_seconds / (self.endpoints as f64 * f64::from(self.slots))
    }
}
