//! Randomised runs over the tables, several instances on one thread.
//!
//! Short with fixed seeds by default. `NUTMEGGRADE_LONG=STEPS` plays that many steps under a seed of
//! the moment, which is printed; `NUTMEGGRADE_SEED=N` repeats it.

use std::fmt::Debug;

use proptest::collection::vec;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

mod cold;
mod config;

/// Steps of a short run.
const SHORT: u32 = 40_000;
/// Steps that one case plays from a fresh start.
const CASE: usize = 400;
/// Seed of the short runs.
const SEED: u64 = 5;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays random steps case by case; a failing case is shrunk to a short one.
pub fn play<S: Strategy>(name: &str, step: S, run: impl Fn(&[S::Value]) -> Result<(), String>)
where
    S::Value: Clone + Debug,
{
    let long = number("NUTMEGGRADE_LONG").and_then(|n| u32::try_from(n).ok());
    let steps = long.unwrap_or(SHORT);
    let drawn = long.map(|_| rand::random::<u64>() >> 32);
    let seed = number("NUTMEGGRADE_SEED").or(drawn).unwrap_or(SEED);
    println!("random run={name} steps={steps} seed={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let case = u32::try_from(CASE).unwrap_or(u32::MAX);
    let config = Config {
        cases: steps.div_ceil(case),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(step, CASE), |steps| run(&steps).map_err(TestCaseError::fail));
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}
