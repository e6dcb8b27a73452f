//! The operators' command: changes the configuration and shows what is in force.
//!
//! `nutmegctl --help` lists the subcommands; each has a file under `cmd/`.

mod admin;
mod change;
mod cmd;
mod settings;

use std::process::ExitCode;

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
    if words.is_empty() {
        return cmd::help(flags);
    }
    let settings = match Settings::load(flags) {
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
        Err(error) => report(&error),
    }
}

fn run(settings: &Settings, words: &[String]) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    runtime.block_on(cmd::run(settings, &words))
}

fn report(error: &anyhow::Error) -> ExitCode {
    let Some(failure) = error.downcast_ref::<Failure>() else {
        eprintln!("nutmegctl: {error:#}");
        return ExitCode::FAILURE;
    };
    eprintln!("nutmegctl: {}: {}", failure.code, failure.detail);
    ExitCode::from(match failure.code {
        Code::UnknownSetting => USAGE_EXIT,
        Code::Conflict => CONFLICT_EXIT,
        Code::NotInForce => NOT_IN_FORCE_EXIT,
        Code::ChangeUnknown => UNKNOWN_EXIT,
        Code::PlatformDown => PLATFORM_EXIT,
        _ => REFUSED_EXIT,
    })
}
