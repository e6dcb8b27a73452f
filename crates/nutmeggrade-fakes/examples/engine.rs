//! Runs a fake engine: `engine [ip:port] [lag in ms] [memory in tokens]`; port 0 and 300 ms by
//! default.

use std::time::Duration;

use anyhow::Context;
use nutmeggrade_fakes::engine::{Engine, Spec, serve};

const DEFAULT_LAG_MS: u64 = 300;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut args = std::env::args().skip(1);
    let address = args.next().unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let lag = args.next().map_or(Ok(DEFAULT_LAG_MS), |a| a.parse()).context("lag")?;
    let mut spec = Spec::default();
    if let Some(memory) = args.next() {
        spec.memory = memory.parse().context("memory")?;
    }
    let engine = Engine::new(&spec, Duration::from_millis(lag));
    serve(address.parse().context("address")?, engine).await
}
