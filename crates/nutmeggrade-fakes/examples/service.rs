//! Runs the fake plain service: `service [ip:port]`, port 0 by default.

use anyhow::Context;
use nutmeggrade_fakes::service::serve;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned());
    serve(address.parse().context("address")?).await
}
