//! Patterns of load, drawn from a seed.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{Ask, Ticket};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::spec;
use crate::engine::Spec;

/// Requests a second that fill the engines' memory on average, from the pattern's mean lengths; see
/// `docs/measurements/decisions.md`.
pub const CAPACITY: f64 = 40.0;
/// Time during which requests come, in seconds.
const ARRIVING: f64 = 120.0;
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
    pub long: bool,
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
    pub(super) fn ask(&self, ticket: Ticket, avoid: &BTreeSet<EndpointId>) -> Ask {
        let task = if self.huge { "draft-book" } else { "permit-draft" };
        let task = if self.long { task } else { "district-sort" };
        Ask {
            ticket,
            workspace: workspace(self.workspace),
            task: TaskId::new(task).expect("a valid id"),
            long: self.long,
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

/// Something that happens to the engines.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Steps take `factor` times as long.
    Slow {
        /// When.
        at: Moment,
        /// Which.
        engine: usize,
        /// How much slower.
        factor: u32,
    },
    /// A warm engine turns cold.
    Cold {
        /// When.
        at: Moment,
        /// Which.
        engine: usize,
    },
    /// A failure domain is taken out.
    Out {
        /// When.
        at: Moment,
        /// Which.
        domain: usize,
    },
    /// Its engines restart while it is out.
    Restart {
        /// When.
        at: Moment,
        /// Which.
        domain: usize,
    },
    /// It comes back.
    Back {
        /// When.
        at: Moment,
        /// Which.
        domain: usize,
    },
}

impl Change {
    pub(super) const fn at(&self) -> Moment {
        match self {
            Self::Slow { at, .. }
            | Self::Cold { at, .. }
            | Self::Out { at, .. }
            | Self::Restart { at, .. }
            | Self::Back { at, .. } => *at,
        }
    }
}

/// The patterns of the issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Half load with 10 s of four times as much.
    Burst,
    /// Two of ten workspaces send 80 % at 1.3 times capacity.
    TwoWorkspaces,
    /// One engine of twelve becomes eight times slower for a minute.
    SlowEndpoint,
    /// One answer in 150 is up to 24,576 tokens long.
    Huge,
    /// As much as the engines bear.
    Saturation1,
    /// Half more than the engines bear.
    Saturation15,
    /// Three times what the engines bear.
    Saturation3,
    /// A failure domain leaves and returns cold.
    DomainOut,
    /// Reports are three seconds old, and two warm engines turn cold.
    StaleReports,
}

impl Shape {
    /// Every pattern.
    pub const ALL: [Self; 9] = [
        Self::Burst,
        Self::TwoWorkspaces,
        Self::SlowEndpoint,
        Self::Huge,
        Self::Saturation1,
        Self::Saturation15,
        Self::Saturation3,
        Self::DomainOut,
        Self::StaleReports,
    ];

    /// Returns the name used in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::TwoWorkspaces => "two workspaces",
            Self::SlowEndpoint => "slow endpoint",
            Self::Huge => "huge among short",
            Self::Saturation1 => "saturation 1.0",
            Self::Saturation15 => "saturation 1.5",
            Self::Saturation3 => "saturation 3",
            Self::DomainOut => "domain out and back",
            Self::StaleReports => "stale reports",
        }
    }

    fn rate(self, at: f64) -> f64 {
        let load = match self {
            Self::Burst if (40.0..50.0).contains(&at) => 2.0,
            Self::Burst | Self::SlowEndpoint | Self::DomainOut => 0.5,
            Self::Huge => 0.35,
            Self::TwoWorkspaces => 1.3,
            Self::StaleReports => 0.7,
            Self::Saturation1 => 1.0,
            Self::Saturation15 => 1.5,
            Self::Saturation3 => 3.0,
        };
        load * CAPACITY
    }

    fn changes(self, scale: f64) -> Vec<Change> {
        let at = |ms: u64| Moment::new(Duration::from_millis(ms).mul_f64(scale));
        match self {
            Self::SlowEndpoint => vec![
                Change::Slow { at: at(30_000), engine: 4, factor: 8 },
                Change::Slow { at: at(90_000), engine: 4, factor: 1 },
            ],
            Self::DomainOut => vec![
                Change::Out { at: at(30_000), domain: 1 },
                Change::Restart { at: at(69_000), domain: 1 },
                Change::Back { at: at(70_000), domain: 1 },
            ],
            Self::StaleReports => vec![
                Change::Cold { at: at(40_000), engine: 2 },
                Change::Cold { at: at(80_000), engine: 7 },
            ],
            _ => Vec::new(),
        }
    }
}

/// One pattern with all that is random in it already drawn.
#[derive(Debug, Clone)]
pub struct Pattern {
    /// Requests in the order of their coming.
    pub arrivals: Vec<Arrival>,
    /// What happens to the engines.
    pub changes: Vec<Change>,
    /// How old load reports are.
    pub report_lag: Duration,
    /// When the run ends.
    pub end: Moment,
    /// Every engine.
    pub spec: Spec,
}

impl Pattern {
    /// Draws a pattern; the same shape and seed give the same pattern.
    pub fn new(shape: Shape, seed: u64) -> Self {
        Self::scaled(shape, seed, 1.0)
    }

    /// Draws a pattern that takes a part of the usual time, at the same rates.
    pub fn scaled(shape: Shape, seed: u64, scale: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            let open: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at -= open.ln() / shape.rate(at / scale);
            if at > ARRIVING * scale {
                break;
            }
            arrivals.push(arrival(&mut rng, shape, at));
        }
        let late = arrivals.iter().map(|a| a.deadline).max().unwrap_or(Moment::ZERO);
        let old_reports = shape == Shape::StaleReports;
        Self {
            arrivals,
            changes: shape.changes(scale),
            report_lag: Duration::from_millis(if old_reports { 3_000 } else { 300 }),
            end: late,
            spec: spec(),
        }
    }
}

fn arrival(rng: &mut ChaCha8Rng, shape: Shape, at: f64) -> Arrival {
    let at = Moment::new(Duration::from_secs_f64(at));
    let crowd = shape == Shape::TwoWorkspaces;
    let skewed = crowd && rng.random_bool(0.8);
    let lowest = if crowd && !skewed { 2 } else { 0 };
    let highest = if skewed { 2 } else { WORKSPACES };
    let workspace = rng.random_range(lowest..highest);
    let huge = shape == Shape::Huge && rng.random_bool(1.0 / 150.0);
    let long = huge || rng.random_bool(0.5);
    let conversation: u64 = rng.random_range(0..20);
    let deadline = match (huge, long) {
        (true, _) => LONG_DEADLINE * 6,
        (_, true) => LONG_DEADLINE,
        _ => SHORT_DEADLINE,
    };
    let max_tokens = match (huge, long) {
        (true, _) => MAX_HUGE,
        (_, true) => MAX_LONG,
        _ => MAX_SHORT,
    };
    let output = match (huge, long) {
        (true, _) => rng.random_range(10_000..MAX_HUGE),
        (_, true) => lognormal(rng, 500.0, 0.9).clamp(16, MAX_LONG),
        _ => rng.random_range(8..MAX_SHORT),
    };
    let prompt = if long { rng.random_range(300..1_200) } else { rng.random_range(260..500) };
    Arrival {
        at,
        workspace,
        long,
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
