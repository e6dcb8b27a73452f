//! `nutmeggrade run`: serves until SIGTERM.

use std::process::ExitCode;

use nutmeggrade::Settings;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let settings = match super::load(args) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let filter = EnvFilter::new(&settings.log);
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(layer).init();
    match serve(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "stopped", error = format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: &Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    runtime.block_on(nutmeggrade::run(settings))
}
