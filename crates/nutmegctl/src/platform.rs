//! The platform, as the operators' command asks it.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, PlatformError};

use crate::settings::Settings;

const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between looks.
pub const POLL: Duration = Duration::from_millis(100);

/// Opens the platform.
///
/// # Errors
///
/// Fails if the settings don't say where it is.
pub fn platform(settings: &Settings) -> Result<HttpPlatform, Failure> {
    let missing = || Failure::new(Code::SettingMissing, "--platform must be ip:port");
    let address = settings.platform.ok_or_else(missing)?;
    Ok(HttpPlatform::new(address, PATIENCE))
}

/// Says that the platform could not be asked.
pub fn down(error: &PlatformError) -> anyhow::Error {
    Failure::new(Code::PlatformDown, &error.to_string()).into()
}
