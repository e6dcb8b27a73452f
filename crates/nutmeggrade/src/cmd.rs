//! Subcommands.

pub mod check;
pub mod help;
pub mod relay;
pub mod run;
pub mod version;

use std::process::ExitCode;

use nutmeggrade::Settings;
use nutmeggrade_core::settings::SettingError;

/// Exit code for mistakes in the settings; nothing was started.
const BAD_SETTINGS: u8 = 2;

/// Loads the settings or prints every mistake in them.
fn load(args: &[String]) -> Result<Settings, ExitCode> {
    Settings::load(args).map_err(|mistakes| report(&mistakes))
}

/// Prints every mistake in the settings.
fn report(mistakes: &[SettingError]) -> ExitCode {
    for mistake in mistakes {
        eprintln!("nutmeggrade: {mistake}");
    }
    ExitCode::from(BAD_SETTINGS)
}
