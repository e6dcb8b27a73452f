//! Parsing and validation of presets.

use std::time::Duration;

use super::{Preset, Problem, Problems, Weights};
use crate::code::Code;

/// Maximum deadline that a preset may set or a caller may request.
pub const MAX_DEADLINE: Duration = Duration::from_hours(6);
/// Maximum queue length of one instance; longer queues only hold requests that miss their deadline.
pub const MAX_QUEUE: u32 = 100_000;
/// Maximum number of concurrent loads from the weight store.
pub const MAX_LOADS: u32 = 1_000;
/// Maximum context length, in tokens.
pub const MAX_CONTEXT: u64 = 100_000_000;

impl Preset {
    /// Parses and validates a preset; `source` is the file name shown in problems.
    ///
    /// Unknown keys are errors. Otherwise a mistyped `queue` would put a preset in force that
    /// silently lacks the limit, which would show only at the next load peak.
    pub fn parse(source: &str, text: &str) -> Result<Self, Problems> {
        let preset: Self = serde_json::from_str(text).map_err(|e| {
            let place = format!("{source}:{}:{}", e.line(), e.column());
            let message = e.to_string();
            let detail = message.split(" at line ").next().unwrap_or(&message);
            Problems(vec![Problem::new(Code::PresetUnreadable, &place, detail)])
        })?;
        let problems = preset.problems();
        if problems.is_empty() { Ok(preset) } else { Err(Problems(problems)) }
    }

    /// Returns all validation problems of the preset.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_parts(&mut problems);
        self.check_models(&mut problems);
        self.check_tasks(&mut problems);
        self.check_limits(&mut problems);
        check_weights(&self.weights, &mut problems);
        problems
    }

    fn check_parts(&self, problems: &mut Vec<Problem>) {
        let mut missing = |place: &str, detail: &str| {
            problems.push(Problem::new(Code::PresetPartMissing, place, detail));
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

    fn check_models(&self, problems: &mut Vec<Problem>) {
        for (model, class) in &self.models {
            let place = format!("models.{model}.context");
            check_range(&place, class.context, MAX_CONTEXT, problems);
        }
    }

    fn check_tasks(&self, problems: &mut Vec<Problem>) {
        let max_context = self.models.values().map(|m| m.context).max().unwrap_or(MAX_CONTEXT);
        for (task, class) in &self.tasks {
            check_range(
                &format!("tasks.{task}.max_tokens"),
                class.max_tokens,
                max_context,
                problems,
            );
            check_deadline(&format!("tasks.{task}.deadline_ms"), class.deadline, problems);
        }
    }

    fn check_limits(&self, problems: &mut Vec<Problem>) {
        check_range("limits.queue", self.limits.queue.into(), MAX_QUEUE.into(), problems);
        check_range("limits.loads", self.limits.loads.into(), MAX_LOADS.into(), problems);
        check_deadline("limits.call_deadline_ms", self.limits.call_deadline, problems);
    }
}

fn check_range(place: &str, value: u64, max: u64, problems: &mut Vec<Problem>) {
    if !(1..=max).contains(&value) {
        let detail = format!("{value} is not in 1 to {max}");
        problems.push(Problem::new(Code::PresetRange, place, &detail));
    }
}

fn check_deadline(place: &str, value: Duration, problems: &mut Vec<Problem>) {
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    check_range(place, millis(value), millis(MAX_DEADLINE), problems);
}

fn check_weights(weights: &Weights, problems: &mut Vec<Problem>) {
    let weight_fields = [
        ("weights.stall", weights.stall),
        ("weights.domains", weights.domains),
        ("weights.gap", weights.gap),
        ("weights.preemptions", weights.preemptions),
    ];
    for (place, weight) in weight_fields {
        if !weight.is_finite() || weight < 0.0 {
            let detail = format!("{weight} is not a finite number of at least 0");
            problems.push(Problem::new(Code::PresetWeights, place, &detail));
        }
    }
    if weight_fields.iter().all(|(_, weight)| *weight == 0.0) {
        problems.push(Problem::new(Code::PresetWeights, "weights", "all weights are 0"));
    }
}
