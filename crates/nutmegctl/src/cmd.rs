//! Subcommands.

mod audit;
mod domain;
mod endpoint;
mod preset;
mod status;

use std::process::ExitCode;

use nutmeggrade_core::prelude::*;

use crate::settings::Settings;

const BRIEF: &str = "Usage: nutmegctl COMMAND [--FLAG VALUE]...

  preset list                  lists the presets; the one in force has a star
  preset show NAME             prints a preset
  preset put NAME FILE         adds or replaces a preset (JSON)
  preset use NAME              puts a preset in force
  domain out|in NAME           takes a failure domain out of service or back
  endpoint out|in NAME         takes an endpoint out of service or back
  status                       shows what each instance has in force
  audit                        lists every accepted change

The token comes from NUTMEGGRADE_OPERATOR_TOKEN or NUTMEGGRADE_OPERATOR_TOKEN_FILE.
Exit codes: 0 done, 2 usage, 3 refused, 4 conflict, 5 not in force everywhere,
6 unknown whether accepted, 7 platform down.

Example:
  nutmegctl domain out veluwe --platform 10.0.0.9:8080 --who anna --why 'switch work'";

/// Prints the help, or the version if asked.
pub fn help(flags: &[String]) -> ExitCode {
    if flags.iter().any(|f| f == "--version") {
        println!("nutmegctl {}", env!("CARGO_PKG_VERSION"));
    } else {
        println!("{}", Settings::usage(BRIEF));
    }
    ExitCode::SUCCESS
}

/// Runs the subcommand that the words name.
pub async fn run(settings: &Settings, words: &[&str]) -> anyhow::Result<()> {
    match words {
        ["preset", "list"] => preset::list(settings).await,
        ["preset", "show", name] => preset::show(settings, name).await,
        ["preset", "put", name, file] => preset::put(settings, name, file).await,
        ["preset", "use", name] => preset::choose(settings, name).await,
        ["domain", "out", name] => domain::take_out(settings, name).await,
        ["domain", "in", name] => domain::bring_in(settings, name).await,
        ["endpoint", "out", name] => endpoint::take_out(settings, name).await,
        ["endpoint", "in", name] => endpoint::bring_in(settings, name).await,
        ["status"] => status::show(settings).await,
        ["audit"] => audit::show(settings).await,
        _ => {
            let detail = format!("unknown command {:?}; see nutmegctl --help", words.join(" "));
            Err(Failure::new(Code::UnknownSetting, &detail).into())
        }
    }
}
