//! Randomised runs over the tables, several instances on one thread.
//!
//! Short with fixed seeds by default. `NUTMEGGRADE_LONG=STEPS` plays that many steps under a seed of
//! the moment, which is printed; `NUTMEGGRADE_SEED=N` repeats it.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Mutex;

use proptest::collection::vec;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRng, TestRunner};

mod attempts;
mod cold;
mod config;
mod event_streams;
mod generations;
mod intents;
mod rollouts;
mod suspects;

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

/// Steps of one case of a state machine.
pub const STEPS: usize = 250;

/// The seed of each state machine in this process; the library asks for the configuration often.
static SEEDS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Returns the configuration of a state machine, short or long like [`play`].
pub fn machine(name: &str) -> Config {
    let long = number("NUTMEGGRADE_LONG");
    let cases = long.unwrap_or(u64::from(SHORT)).div_ceil(STEPS as u64);
    let mut seeds = SEEDS.lock().expect("seeds");
    let seed = *seeds.entry(name.to_owned()).or_insert_with(|| {
        let drawn = long.map(|_| rand::random::<u64>() >> 32);
        let seed = number("NUTMEGGRADE_SEED").or(drawn).unwrap_or(SEED);
        println!("random run={name} steps={} seed={seed}", cases * STEPS as u64);
        seed
    });
    Config {
        cases: u32::try_from(cases).expect("fewer steps"),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
