//! Randomised runs over the state tables, several instances on one thread.
//!
//! Fixed seeds by default; `NUTMEGGRADE_LONG=<steps>` runs that many steps of each machine under a
//! seed that is drawn and printed, or taken from `NUTMEGGRADE_SEED`.

mod intents;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use proptest::test_runner::{Config, RngSeed};

/// Steps of one case.
pub const STEPS: usize = 250;
/// Cases of a run with the fixed seed.
const CASES: u64 = 64;
const SEED: u64 = 20_261_202;

/// The seed of each machine in this process; the library asks for the configuration many times.
static SEEDS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Returns the configuration of a machine: short under a fixed seed, or long as the environment says.
pub fn config(name: &str) -> Config {
    let long = number("NUTMEGGRADE_LONG");
    let cases = long.map_or(CASES, |steps| steps.div_ceil(STEPS as u64));
    let mut seeds = SEEDS.lock().expect("seeds");
    let seed = *seeds.entry(name.to_owned()).or_insert_with(|| {
        let seed =
            number("NUTMEGGRADE_SEED").unwrap_or(if long.is_some() { drawn() } else { SEED });
        println!("random {name}: seed={seed} cases={cases} steps={}", cases * STEPS as u64);
        seed
    });
    Config {
        cases: u32::try_from(cases).expect("fewer steps"),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_096,
        ..Config::default()
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn drawn() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::from(time.subsec_nanos())
}
