//! Subcommands.

pub mod check;
pub mod help;
pub mod relay;
pub mod run;
pub mod version;

use std::process::ExitCode;

use nutmeggrade::Settings;
use nutmeggrade_core::settings::SettingError;

/// Exit code for invalid settings; nothing was started.
const INVALID_SETTINGS: u8 = 2;

/// Loads the settings, or prints every error in them.
fn load(args: &[String]) -> Result<Settings, ExitCode> {
    Settings::load(args).map_err(|errors| report_errors(&errors))
}

/// Prints every error in the settings.
fn report_errors(errors: &[SettingError]) -> ExitCode {
    for error in errors {
        eprintln!("nutmeggrade: {error}");
    }
    ExitCode::from(INVALID_SETTINGS)
}
