//! Access to the platform.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, PlatformError};

use crate::settings::Settings;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two attempts to read a result.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Creates a client of the platform.
///
/// # Errors
///
/// Fails if the settings have no address of the platform.
pub fn platform_client(settings: &Settings) -> Result<HttpPlatform, Failure> {
    let missing = || Failure::new(Code::SettingMissing, "--platform must be ip:port");
    let address = settings.platform.ok_or_else(missing)?;
    Ok(HttpPlatform::new(address, REQUEST_TIMEOUT))
}

/// Converts a platform error to a failure with [`Code::PlatformDown`].
pub fn platform_down(error: &PlatformError) -> anyhow::Error {
    Failure::new(Code::PlatformDown, &error.to_string()).into()
}
