//! Command line of an instance; see `cmd/` for each subcommand.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("check") if args.get(1).is_some_and(|a| a == "relay") => cmd::relay::check(&args[2..]),
        Some("check") => cmd::check::run(&args[1..]),
        Some("relay") => cmd::relay::run(&args[1..]),
        Some("--help" | "-h" | "help") => cmd::help::run(),
        Some("--version") => cmd::version::run(),
        Some("run") => cmd::run::run(&args[1..]),
        _ => cmd::run::run(&args),
    }
}
