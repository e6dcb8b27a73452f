//! The operators' command: changes the configuration and shows what is in force.
//!
//! `nutmegctl --help` lists the subcommands; each has a file under `cmd/`.

mod admin;
mod change;
mod cmd;
mod line;
mod logs;
mod order_change;
mod platform;
mod settings;
mod trail;
mod versioned;

use std::process::ExitCode;

use nutmeggrade_core::config::Problems;
use nutmeggrade_core::prelude::*;

use crate::settings::Settings;

const USAGE_EXIT: u8 = 2;
const REFUSED_EXIT: u8 = 3;
const CONFLICT_EXIT: u8 = 4;
const NOT_IN_FORCE_EXIT: u8 = 5;
const UNKNOWN_EXIT: u8 = 6;
const PLATFORM_EXIT: u8 = 7;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let split = args.iter().position(|a| a.starts_with("--")).unwrap_or(args.len());
    let (words, flags) = args.split_at(split);
    let asked = |flag: &str| flags.iter().any(|f| f == flag);
    if words.is_empty() || words[0] == "help" || asked("--help") || asked("--version") {
        return cmd::help(words, flags);
    }
    if !cmd::exists(words) {
        eprintln!("nutmegctl: unknown command {:?}; see nutmegctl --help", words.join(" "));
        return ExitCode::from(USAGE_EXIT);
    }
    let settings = match Settings::load(flags, cmd::asks_instances_only(words)) {
        Ok(settings) => settings,
        Err(mistakes) => {
            for mistake in mistakes {
                eprintln!("nutmegctl: {mistake}");
            }
            return ExitCode::from(USAGE_EXIT);
        }
    };
    match run(&settings, words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&settings, &error),
    }
}

fn run(settings: &Settings, words: &[String]) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    runtime.block_on(cmd::run(settings, &words))
}

fn report(settings: &Settings, error: &anyhow::Error) -> ExitCode {
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
        Code::ChangeUnknown => UNKNOWN_EXIT,
        Code::PlatformDown => PLATFORM_EXIT,
        _ => REFUSED_EXIT,
    })
}
