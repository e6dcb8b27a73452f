//! `nutmeggrade --version`.

use std::process::ExitCode;

/// Runs the subcommand.
pub fn run() -> ExitCode {
    println!("nutmeggrade {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}
