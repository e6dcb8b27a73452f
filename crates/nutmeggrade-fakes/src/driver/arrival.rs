//! Requests of a load pattern.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{GenerationRequest, Ticket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::LoadShape;

/// Deadline of a long completion.
const LONG_DEADLINE: Duration = Duration::from_secs(90);
/// Deadline of a short completion.
const SHORT_DEADLINE: Duration = Duration::from_secs(20);
/// Number of workspaces.
const WORKSPACE_COUNT: usize = 10;
/// Length of the prefix that the prompts of a conversation share.
const PREFIX_TOKENS: u64 = 250;
/// Token limit of a long completion.
const MAX_LONG_TOKENS: u64 = 8_192;
/// Token limit of a short completion.
const MAX_SHORT_TOKENS: u64 = 64;
/// Token limit of a huge completion.
const MAX_HUGE_TOKENS: u64 = 24_576;

/// A request of a load pattern.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time.
    pub at: Moment,
    /// Number of the calling workspace.
    pub workspace: usize,
    /// Whether its task class is long.
    pub is_long: bool,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Id of the shared prefix.
    pub prefix: u64,
    /// Length of the shared prefix in tokens.
    pub prefix_len: u64,
    /// True output length in tokens.
    pub output: u64,
    /// Token limit set by the caller.
    pub max_tokens: u64,
    /// Deadline for the complete output.
    pub deadline: Moment,
    huge: bool,
}

impl Arrival {
    pub(super) fn to_request(
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

/// Returns the id of a workspace.
///
/// # Panics
///
/// Never: the name is a valid id.
pub fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId::new(&format!("workspace-{number}")).expect("a valid id")
}

/// Returns the id of the model.
///
/// # Panics
///
/// Never: the name is a valid id.
pub fn model() -> ModelId {
    ModelId::new("nutmeg-schrijvers").expect("a valid id")
}

pub(super) fn draw(rng: &mut ChaCha8Rng, shape: LoadShape, at: f64) -> Arrival {
    let at = Moment::new(Duration::from_secs_f64(at));
    let uneven = shape == LoadShape::TwoWorkspaces;
    let is_heavy = uneven && rng.random_bool(0.8);
    let lowest = if uneven && !is_heavy { 2 } else { 0 };
    let highest = if is_heavy { 2 } else { WORKSPACE_COUNT };
    let workspace = rng.random_range(lowest..highest);
    let huge = shape == LoadShape::Huge && rng.random_bool(1.0 / 150.0);
    let is_long = huge || rng.random_bool(0.5);
    let conversation: u64 = rng.random_range(0..20);
    let deadline = match (huge, is_long) {
        (true, _) => LONG_DEADLINE * 6,
        (_, true) => LONG_DEADLINE,
        _ => SHORT_DEADLINE,
    };
    let max_tokens = match (huge, is_long) {
        (true, _) => MAX_HUGE_TOKENS,
        (_, true) => MAX_LONG_TOKENS,
        _ => MAX_SHORT_TOKENS,
    };
    let output = match (huge, is_long) {
        (true, _) => rng.random_range(10_000..MAX_HUGE_TOKENS),
        (_, true) => lognormal(rng, 500.0, 0.9).clamp(16, MAX_LONG_TOKENS),
        _ => rng.random_range(8..MAX_SHORT_TOKENS),
    };
    let prompt = if is_long { rng.random_range(300..1_200) } else { rng.random_range(260..500) };
    Arrival {
        at,
        workspace,
        is_long,
        prompt,
        prefix: 1 + workspace as u64 * 20 + conversation,
        prefix_len: PREFIX_TOKENS,
        output,
        max_tokens,
        deadline: at.after(deadline),
        huge,
    }
}

/// Draws from a lognormal distribution, with the sum of twelve uniform draws as normal exponent.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a length is small and positive"
)]
fn lognormal(rng: &mut ChaCha8Rng, median: f64, sigma: f64) -> u64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (median * (sigma * normal).exp()) as u64
}
