//! What the weights of a preset choose.

use std::time::Duration;

use nutmeggrade_core::config::Weights;

/// Settings of the decisions, derived from a preset's weights.
///
/// Answers two deployments that weigh the same figures differently. Weights are taken relative to
/// their mean and bounded, so that no weight switches a decision off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Knobs {
    /// Standard deviations of memory kept free.
    pub reserve: f64,
    /// Gap between tokens that an engine may show to one in five tokens.
    pub gap: Duration,
    /// Time in which a returning engine's limit doubles.
    pub ramp: Duration,
    /// Prompt tokens that may wait unread on an engine.
    pub unread: u64,
    /// How much fuller, as a part of its memory, an engine may be that has the prompt's start cached.
    pub cached: f64,
}

impl Knobs {
    /// Derives the settings.
    pub fn new(weights: &Weights) -> Self {
        let Weights { stall, domains, gap, preemptions } = *weights;
        let mean = ((stall + domains + gap + preemptions) / 4.0).max(f64::MIN_POSITIVE);
        let relative = |w: f64| (w / mean).clamp(0.5, 2.0);
        // A preemption is a stall too, so both weights ask for reserve. Stalls also come from waiting
        // for room, which reserve makes longer; so they ask for less of it.
        let reserve = 1.0 + 0.3 * relative(stall) + 0.7 * relative(preemptions);
        let unread = if relative(gap) > 1.0 { 1_024 } else { 2_048 };
        Self {
            reserve,
            gap: Duration::from_millis(50).div_f64(relative(gap).sqrt()),
            ramp: Duration::from_secs(1).mul_f64(relative(domains)),
            unread,
            cached: 0.1 * relative(gap),
        }
    }
}
