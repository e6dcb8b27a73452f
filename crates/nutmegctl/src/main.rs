//! Command-line tool for operators: changes the configuration and shows what is in force.
//!
//! `nutmegctl --help` lists the subcommands; their modules are under `cmd/`.

mod admin;
mod audit_trail;
mod change;
mod cmd;
mod line;
mod logs;
mod order_change;
mod platform;
mod settings;
mod versioned;

use std::process::ExitCode;

use nutmeggrade_core::config::Problems;
use nutmeggrade_core::prelude::*;

use crate::settings::Settings;

const USAGE_EXIT: u8 = 2;
const REFUSED_EXIT: u8 = 3;
const CONFLICT_EXIT: u8 = 4;
const NOT_IN_FORCE_EXIT: u8 = 5;
const CHANGE_UNKNOWN_EXIT: u8 = 6;
const PLATFORM_DOWN_EXIT: u8 = 7;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let split = args.iter().position(|a| a.starts_with("--")).unwrap_or(args.len());
    let (command, flags) = args.split_at(split);
    let has_flag = |flag: &str| flags.iter().any(|f| f == flag);
    if command.is_empty() || command[0] == "help" || has_flag("--help") || has_flag("--version") {
        return cmd::help(command, flags);
    }
    if !cmd::is_command(command) {
        eprintln!("nutmegctl: unknown command {:?}; see nutmegctl --help", command.join(" "));
        return ExitCode::from(USAGE_EXIT);
    }
    let settings = match Settings::load(flags, cmd::needs_only_instances(command)) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("nutmegctl: {error}");
            }
            return ExitCode::from(USAGE_EXIT);
        }
    };
    match run(&settings, command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&settings, &error),
    }
}

fn run(settings: &Settings, command: &[String]) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let command: Vec<&str> = command.iter().map(String::as_str).collect();
    runtime.block_on(cmd::run(settings, &command))
}

fn report_error(settings: &Settings, error: &anyhow::Error) -> ExitCode {
    if let Some(Problems(problems)) = error.downcast_ref::<Problems>() {
        for problem in problems {
            let json = || serde_json::to_string(problem).unwrap_or_default();
            eprintln!("{}", if settings.json { json() } else { format!("nutmegctl: {problem}") });
        }
        return ExitCode::from(REFUSED_EXIT);
    }
    let Some(failure) = error.downcast_ref::<Failure>() else {
        eprintln!("nutmegctl: {error:#}");
        return ExitCode::FAILURE;
    };
    if settings.json {
        eprintln!("{}", serde_json::to_string(failure).unwrap_or_default());
    } else {
        eprintln!("nutmegctl: {}: {}", failure.code, failure.detail);
    }
    ExitCode::from(match failure.code {
        Code::UnknownSetting => USAGE_EXIT,
        Code::Conflict => CONFLICT_EXIT,
        Code::NotInForce => NOT_IN_FORCE_EXIT,
        Code::ChangeUnknown => CHANGE_UNKNOWN_EXIT,
        Code::PlatformDown => PLATFORM_DOWN_EXIT,
        _ => REFUSED_EXIT,
    })
}
