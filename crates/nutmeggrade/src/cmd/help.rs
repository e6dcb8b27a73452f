//! `nutmeggrade --help`.

use std::process::ExitCode;

use nutmeggrade::Settings;

const USAGE: &str = "Usage: nutmeggrade [run|relay|check|check relay] [--FLAG VALUE]...

  run           serves generations and calls until SIGTERM (the default)
  relay         serves the routes of a platform until SIGTERM
  check         validates the settings of run and prints them with their origin
  check relay   the same for the settings of relay

A flag goes before its variable, a variable before the default. Secrets come from
a variable or from a file that VARIABLE_FILE names, never from a flag.

Example:
  NUTMEGGRADE_PEER_KEY_FILE=peer.key NUTMEGGRADE_OPERATOR_TOKEN_FILE=operator.token \\
    nutmeggrade --instance loket-1 --domain veluwe --platform 10.0.0.9:8080";

/// Runs the subcommand.
pub fn run() -> ExitCode {
    println!("{}", Settings::usage(USAGE));
    ExitCode::SUCCESS
}
