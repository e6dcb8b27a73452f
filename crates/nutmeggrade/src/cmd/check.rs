//! `nutmeggrade check`: validates the settings and prints them with their origin.

use std::process::ExitCode;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    match super::load(args) {
        Ok(settings) => {
            for line in settings.lines() {
                println!("{line}");
            }
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}
