//! What a roll-out is played with.

use std::time::Duration;

use nutmeggrade_policy::rollout::ExposureBound;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Flaw {
    /// Nothing.
    None,
    /// This part of the answers fails.
    Fails(f64),
    /// This part of the answers takes so many times as long.
    Slow(f64, f64),
    /// This part of the answers fails after this part of the time.
    FailsLater(f64, f64),
    /// This part of the answers fails while the endpoint has this part of its usual load.
    FailsUnderLoad(f64, f64),
    /// This part of the answers of one route fails.
    FailsOnRoute(f64),
}

/// What happens meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The instance that judges is killed and comes back.
    JudgeKilled,
    /// A failure domain is cut off from the others.
    DomainCut,
    /// The store answers nobody for six seconds.
    StoreAway,
    /// All instances are killed and come back.
    AllKilled,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 5] =
        [Self::None, Self::JudgeKilled, Self::DomainCut, Self::StoreAway, Self::AllKilled];
}

/// What a roll-out is played with.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Decides everything that is drawn.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Endpoints of each version.
    pub endpoints: usize,
    /// Requests that an endpoint works on at a time.
    pub slots: u32,
    /// Requests a second.
    pub rate: f64,
    /// Whether answers are long streams that can move.
    pub is_stream: bool,
    /// Time in which the order has to be decided.
    pub duration: Duration,
    /// When the fault begins, after the order.
    pub fault_at: Duration,
    /// The fault.
    pub fault: Fault,
    /// What is wrong with the new version.
    pub flaw: Flaw,
    /// What a bad version may get.
    pub bound: ExposureBound,
}

impl Plan {
    /// Draws a plan for a fleet of so many instances.
    pub fn draw(seed: u64, instances: usize, fault: Fault, is_bad: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_stream = rng.random_bool(0.5);
        // Requests a second and endpoints as on the deployments of that size.
        let (streams, calls, engines, servers) = match instances {
            0..=10 => (11.0, 40.0, 12, 3),
            11..=30 => (14.0, 45.0, 12, 3),
            _ => (54.0, 111.0, 44, 5),
        };
        let duration = Duration::from_secs(rng.random_range(12..40));
        let part = rng.random_range(0.25..0.8);
        let flaws = [
            Flaw::Fails(part),
            Flaw::Slow(part, rng.random_range(3.0..8.0)),
            Flaw::FailsLater(part, rng.random_range(0.2..0.6)),
            Flaw::FailsUnderLoad(part, rng.random_range(0.3..1.0)),
            Flaw::FailsOnRoute(part),
        ];
        let flaw = flaws[rng.random_range(0..flaws.len())];
        Self {
            seed,
            instances,
            endpoints: if is_stream { engines } else { servers },
            slots: if is_stream { 24 } else { 6 },
            rate: if is_stream { streams } else { calls },
            is_stream,
            duration,
            fault_at: duration.mul_f64(rng.random_range(0.0..1.1)),
            fault,
            flaw: if is_bad { flaw } else { Flaw::None },
            bound: ExposureBound { share: 0.1, tolerance: 50.0 },
        }
    }

    /// Returns the part of an endpoint's slots that is usually taken.
    pub fn usual_load(&self) -> f64 {
        let seconds = if self.is_stream { 3.5 } else { 0.07 };
        self.rate * seconds / (self.endpoints as f64 * f64::from(self.slots))
    }
}
