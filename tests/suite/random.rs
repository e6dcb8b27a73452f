//! Randomised model tests of the state tables, with several instances on one thread.
//!
//! Runs are short with a fixed seed by default. `NUTMEGGRADE_LONG=STEPS` runs that many steps under
//! a random seed, which is printed; `NUTMEGGRADE_SEED=N` repeats it.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Mutex;

use proptest::collection::vec;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRng, TestRunner};

mod attempts;
mod cold;
mod config;
mod crash_days;
mod event_streams;
mod generations;
mod intents;
mod odd_entries;
mod rollouts;
mod suspects;
mod version_records;

/// Total steps of a short run.
const SHORT_RUN_STEPS: u32 = 40_000;
/// Steps of one case, which starts from an initial state.
const CASE_STEPS: usize = 400;
/// Seed of the short runs.
const SHORT_RUN_SEED: u64 = 5;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs random steps case by case; a failing case is shrunk.
pub fn play<S: Strategy>(name: &str, step: S, run: impl Fn(&[S::Value]) -> Result<(), String>)
where
    S::Value: Clone + Debug,
{
    let long_steps = env_number("NUTMEGGRADE_LONG").and_then(|n| u32::try_from(n).ok());
    let steps = long_steps.unwrap_or(SHORT_RUN_STEPS);
    let random_seed = long_steps.map(|_| rand::random::<u64>() >> 32);
    let seed = env_number("NUTMEGGRADE_SEED").or(random_seed).unwrap_or(SHORT_RUN_SEED);
    println!("random run={name} steps={steps} seed={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let case = u32::try_from(CASE_STEPS).unwrap_or(u32::MAX);
    let config = Config {
        cases: steps.div_ceil(case),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result =
        runner.run(&vec(step, CASE_STEPS), |steps| run(&steps).map_err(TestCaseError::fail));
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}

/// Steps of one case of a state machine.
pub const STEPS: usize = 250;

/// Seed of each state machine in this process; proptest requests the configuration repeatedly.
static SEEDS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Returns the proptest configuration of a state machine, short or long as for [`play`].
pub fn machine_config(name: &str) -> Config {
    let long_steps = env_number("NUTMEGGRADE_LONG");
    let cases = long_steps.unwrap_or(u64::from(SHORT_RUN_STEPS)).div_ceil(STEPS as u64);
    let mut seeds = SEEDS.lock().expect("seeds");
    let seed = *seeds.entry(name.to_owned()).or_insert_with(|| {
        let random_seed = long_steps.map(|_| rand::random::<u64>() >> 32);
        let seed = env_number("NUTMEGGRADE_SEED").or(random_seed).unwrap_or(SHORT_RUN_SEED);
        println!("random run={name} steps={} seed={seed}", cases * STEPS as u64);
        seed
    });
    Config {
        cases: u32::try_from(cases).expect("number of cases fits u32"),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
