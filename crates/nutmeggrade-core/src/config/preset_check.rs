//! Checks a preset as a whole.

use std::time::Duration;

use super::{Preset, Problem, Problems, Weights};
use crate::code::Code;

/// Longest deadline that a preset may set; callers can't ask for more either.
pub const MAX_DEADLINE: Duration = Duration::from_hours(6);
/// Longest queue of one instance; a longer one only holds requests that come too late.
pub const MAX_QUEUE: u32 = 100_000;
/// Most loads from the weight store at a time.
pub const MAX_LOADS: u32 = 1_000;
/// Longest context, in tokens.
pub const MAX_CONTEXT: u64 = 100_000_000;

impl Preset {
    /// Reads a preset and checks it as a whole; `source` names the file in problems.
    ///
    /// A key that is not known is a mistake: an operator who mistypes `queue` would otherwise put a
    /// preset in force that silently lacks the limit, and notice it in the next peak.
    pub fn parse(source: &str, text: &str) -> Result<Self, Problems> {
        let preset: Self = serde_json::from_str(text).map_err(|e| {
            let place = format!("{source}:{}:{}", e.line(), e.column());
            let full = e.to_string();
            let detail = full.split(" at line ").next().unwrap_or(&full);
            Problems(vec![Problem::new(Code::PresetUnreadable, &place, detail)])
        })?;
        let problems = preset.problems();
        if problems.is_empty() { Ok(preset) } else { Err(Problems(problems)) }
    }

    /// Lists everything that is wrong with the preset.
    pub fn problems(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        self.check_parts(&mut found);
        self.check_models(&mut found);
        self.check_tasks(&mut found);
        self.check_limits(&mut found);
        check_weights(&self.weights, &mut found);
        found
    }

    fn check_parts(&self, found: &mut Vec<Problem>) {
        let mut missing = |place: &str, detail: &str| {
            found.push(Problem::new(Code::PresetPartMissing, place, detail));
        };
        if self.models.is_empty() {
            missing("models", "at least one model is needed");
        }
        if self.tasks.is_empty() {
            missing("tasks", "at least one task class is needed");
        }
        for (service, operations) in &self.services {
            if operations.is_empty() {
                let place = format!("services.{service}");
                missing(&place, "at least one operation is needed");
            }
        }
    }

    fn check_models(&self, found: &mut Vec<Problem>) {
        for (model, class) in &self.models {
            let place = format!("models.{model}.context");
            range(&place, class.context, MAX_CONTEXT, found);
        }
    }

    fn check_tasks(&self, found: &mut Vec<Problem>) {
        let longest = self.models.values().map(|m| m.context).max().unwrap_or(MAX_CONTEXT);
        for (task, class) in &self.tasks {
            range(&format!("tasks.{task}.max_tokens"), class.max_tokens, longest, found);
            deadline(&format!("tasks.{task}.deadline_ms"), class.deadline, found);
        }
    }

    fn check_limits(&self, found: &mut Vec<Problem>) {
        range("limits.queue", self.limits.queue.into(), MAX_QUEUE.into(), found);
        range("limits.loads", self.limits.loads.into(), MAX_LOADS.into(), found);
        deadline("limits.call_deadline_ms", self.limits.call_deadline, found);
    }
}

fn range(place: &str, value: u64, max: u64, found: &mut Vec<Problem>) {
    if !(1..=max).contains(&value) {
        let detail = format!("{value} is not in 1 to {max}");
        found.push(Problem::new(Code::PresetRange, place, &detail));
    }
}

fn deadline(place: &str, value: Duration, found: &mut Vec<Problem>) {
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    range(place, millis(value), millis(MAX_DEADLINE), found);
}

fn check_weights(weights: &Weights, found: &mut Vec<Problem>) {
    let named = [
        ("weights.stall", weights.stall),
        ("weights.domains", weights.domains),
        ("weights.gap", weights.gap),
        ("weights.preemptions", weights.preemptions),
    ];
    for (place, weight) in named {
        if !weight.is_finite() || weight < 0.0 {
            let detail = format!("{weight} is not a finite number of at least 0");
            found.push(Problem::new(Code::PresetWeights, place, &detail));
        }
    }
    if named.iter().all(|(_, weight)| *weight == 0.0) {
        found.push(Problem::new(Code::PresetWeights, "weights", "all weights are 0"));
    }
}
