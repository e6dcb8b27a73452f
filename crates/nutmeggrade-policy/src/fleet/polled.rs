//! Choice of the engines that an instance polls while the store is unavailable.

use rand::Rng;
use rand::seq::SliceRandom;

/// An engine that an instance may poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollCandidate<T> {
    /// The engine.
    pub engine: T,
    /// Whether any instance has placed work there.
    pub has_work: bool,
}

/// Maximum number of engines that are polled at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollLimits {
    /// Engines with work.
    pub with_work: usize,
    /// Engines without work.
    pub idle: usize,
}

/// Chooses a random part of the engines within the limits. Only engines with work have generations
/// to lose if nobody notices that they leave.
///
/// Each poll is a connection. In an outage at a fleet with 9,000 engines there were 85 polls for each
/// request, and the first instance to notice it polled all engines at once, which took all of its
/// descriptors.
pub fn choose_polled<T, R: Rng>(
    candidates: Vec<PollCandidate<T>>,
    limits: PollLimits,
    rng: &mut R,
) -> Vec<T> {
    let (mut with_work, mut idle): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.has_work);
    with_work.shuffle(rng);
    idle.shuffle(rng);
    with_work.truncate(limits.with_work);
    idle.truncate(limits.idle);
    with_work.into_iter().chain(idle).map(|candidate| candidate.engine).collect()
}
