//! The platform, as the operators' command asks it.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, PlatformError};

use crate::settings::Settings;

const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between looks.
pub const POLL: Duration = Duration::from_millis(100);

/// Opens the platform.
pub fn platform(settings: &Settings) -> HttpPlatform {
    HttpPlatform::new(settings.platform, PATIENCE)
}

/// Says that the platform could not be asked.
pub fn down(error: &PlatformError) -> anyhow::Error {
    Failure::new(Code::PlatformDown, &error.to_string()).into()
}
