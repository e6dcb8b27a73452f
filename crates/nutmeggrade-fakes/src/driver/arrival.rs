//! One request of a pattern.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{GenerationRequest, Ticket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Shape;

/// Time after which a long answer is worth nothing.
const LONG_DEADLINE: Duration = Duration::from_secs(90);
/// Time after which a short answer is worth nothing.
const SHORT_DEADLINE: Duration = Duration::from_secs(20);
/// Workspaces.
const WORKSPACES: usize = 10;
/// Tokens of the prefix that a conversation's prompts share.
const PREFIX: u64 = 250;
/// Most tokens of a long answer.
const MAX_LONG: u64 = 8_192;
/// Most tokens of a short answer.
const MAX_SHORT: u64 = 64;
/// Most tokens of a huge answer.
const MAX_HUGE: u64 = 24_576;

/// One request of the pattern.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it comes.
    pub at: Moment,
    /// Who asks.
    pub workspace: usize,
    /// Whether it is a long task.
    pub is_long: bool,
    /// Prompt length.
    pub prompt: u64,
    /// Shared prefix.
    pub prefix: u64,
    /// Length of the shared prefix.
    pub prefix_len: u64,
    /// True length of the answer.
    pub output: u64,
    /// Most tokens that the caller allows.
    pub max_tokens: u64,
    /// When the answer is worth nothing any more.
    pub deadline: Moment,
    huge: bool,
}

impl Arrival {
    pub(super) fn request(
        &self,
        ticket: Ticket,
        avoid: &BTreeSet<EndpointId>,
    ) -> GenerationRequest {
        let task = if self.huge { "draft-book" } else { "permit-draft" };
        let task = if self.is_long { task } else { "district-sort" };
        GenerationRequest {
            ticket,
            workspace: workspace(self.workspace),
            task: TaskId::new(task).expect("a valid id"),
            is_long: self.is_long,
            model: model(),
            prompt: self.prompt,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            deadline: self.deadline,
            avoid: avoid.clone(),
        }
    }
}

/// Names a workspace.
///
/// # Panics
///
/// Never: the name is a valid id.
pub fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId::new(&format!("workspace-{number}")).expect("a valid id")
}

/// Names the model.
///
/// # Panics
///
/// Never: the name is a valid id.
pub fn model() -> ModelId {
    ModelId::new("nutmeg-schrijvers").expect("a valid id")
}

pub(super) fn draw(rng: &mut ChaCha8Rng, shape: Shape, at: f64) -> Arrival {
    let at = Moment::new(Duration::from_secs_f64(at));
    let crowd = shape == Shape::TwoWorkspaces;
    let skewed = crowd && rng.random_bool(0.8);
    let lowest = if crowd && !skewed { 2 } else { 0 };
    let highest = if skewed { 2 } else { WORKSPACES };
    let workspace = rng.random_range(lowest..highest);
    let huge = shape == Shape::Huge && rng.random_bool(1.0 / 150.0);
    let is_long = huge || rng.random_bool(0.5);
    let conversation: u64 = rng.random_range(0..20);
    let deadline = match (huge, is_long) {
        (true, _) => LONG_DEADLINE * 6,
        (_, true) => LONG_DEADLINE,
        _ => SHORT_DEADLINE,
    };
    let max_tokens = match (huge, is_long) {
        (true, _) => MAX_HUGE,
        (_, true) => MAX_LONG,
        _ => MAX_SHORT,
    };
    let output = match (huge, is_long) {
        (true, _) => rng.random_range(10_000..MAX_HUGE),
        (_, true) => lognormal(rng, 500.0, 0.9).clamp(16, MAX_LONG),
        _ => rng.random_range(8..MAX_SHORT),
    };
    let prompt = if is_long { rng.random_range(300..1_200) } else { rng.random_range(260..500) };
    Arrival {
        at,
        workspace,
        is_long,
        prompt,
        prefix: 1 + workspace as u64 * 20 + conversation,
        prefix_len: PREFIX,
        output,
        max_tokens,
        deadline: at.after(deadline),
        huge,
    }
}

/// Draws from a lognormal distribution by twelve uniform draws for its exponent.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a length is small and positive"
)]
fn lognormal(rng: &mut ChaCha8Rng, median: f64, sigma: f64) -> u64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (median * (sigma * normal).exp()) as u64
}
