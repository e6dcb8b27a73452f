//! Settings that follow from a preset's weights.

use std::time::Duration;

use nutmeggrade_core::config::Weights;

/// Settings of the decisions, derived from a preset's weights.
///
/// The weights let deployments balance the same objectives differently. They are taken relative to
/// their mean and bounded, so that no weight disables a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecisionSettings {
    /// Standard deviations of memory kept free.
    pub reserve: f64,
    /// Target gap between tokens; an engine may exceed it for one in five tokens.
    pub gap: Duration,
    /// Time in which the limit of a returning engine doubles.
    pub ramp: Duration,
    /// Prompt tokens that may be pending on an engine.
    pub prefill_limit: u64,
    /// Additional load, as a fraction of its memory, that an engine with the cached prompt prefix
    /// may have.
    pub affinity_margin: f64,
}

impl DecisionSettings {
    /// Derives the settings.
    pub fn new(weights: &Weights) -> Self {
        let Weights { stall, domains, gap, preemptions } = *weights;
        let mean = ((stall + domains + gap + preemptions) / 4.0).max(f64::MIN_POSITIVE);
        let relative = |w: f64| (w / mean).clamp(0.5, 2.0);
        // A preemption also stalls the stream, so both weights increase the reserve. Stalls also
        // come from waiting for room, which a larger reserve lengthens, so that `stall` has the
        // smaller factor.
        let reserve = 1.0 + 0.3 * relative(stall) + 0.7 * relative(preemptions);
        let prefill_limit = if relative(gap) > 1.0 { 1_024 } else { 2_048 };
        Self {
            reserve,
            gap: Duration::from_millis(50).div_f64(relative(gap).sqrt()),
            ramp: Duration::from_secs(1).mul_f64(relative(domains)),
            prefill_limit,
            affinity_margin: 0.1 * relative(gap),
        }
    }
}
