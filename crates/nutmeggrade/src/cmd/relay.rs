//! `nutmeggrade relay`: serves routes until SIGTERM.

use std::path::PathBuf;
use std::process::ExitCode;

use nutmeggrade_relay::{LogBuffer, Settings, Signals, start_writer};
use tokio::runtime::Runtime;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Runs the subcommand.
///
/// Serves on one thread: an instance has a fraction of one processor, so a second thread would only
/// compete with the first.
pub fn run(args: &[String]) -> ExitCode {
    let setup = install_signals();
    let path = nutmeggrade_wire::settings::path();
    let settings = match load(args, path.as_ref()) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let logs = LogBuffer::new();
    let writer = logs.clone();
    let filter = EnvFilter::new(&settings.log);
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = layer.with_writer(move || writer.clone());
    tracing_subscriber::registry().with(filter).with(layer).init();
    let result = setup.and_then(|(runtime, signals)| {
        start_writer(&logs, std::io::stdout())?;
        runtime.block_on(nutmeggrade_relay::run(&settings, args, path, &logs, signals))
    });
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "stopped", error = format!("{error:#}"));
            ExitCode::FAILURE
        }
    };
    // A failed write is ignored: there is no other output to report it on.
    drop(logs.drain(std::io::stdout()));
    code
}

/// Validates the settings and prints them with their origin.
pub fn check(args: &[String]) -> ExitCode {
    match load(args, nutmeggrade_wire::settings::path().as_ref()) {
        Ok(settings) => {
            for line in settings.lines() {
                println!("{line}");
            }
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn load(args: &[String], path: Option<&PathBuf>) -> Result<Settings, ExitCode> {
    Settings::load(args, path).map_err(|errors| super::report_errors(&errors))
}

/// Creates the runtime and installs its signal handlers.
fn install_signals() -> anyhow::Result<(Runtime, Signals)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let signals = Signals::install()?;
    drop(entered);
    Ok((runtime, signals))
}
