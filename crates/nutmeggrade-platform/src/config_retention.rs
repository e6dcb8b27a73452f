//! Retention of old configuration versions.

use nutmeggrade_core::prelude::*;

use crate::{Platform, PlatformError};

/// Number of versions kept with their presets, including the newest.
pub const VERSIONS_WITH_PRESETS: u64 = 64;

/// Removes the presets from the version that just fell out of the newest ones.
///
/// Every version contains all presets, which would fill the platform's store at thousands of
/// changes a day. The audit trail remains: the change, its author, time and reason. Old versions
/// are never put in force again, since only a higher version is ever applied. Failure is harmless.
pub async fn strip_old_presets<P: Platform>(
    platform: &P,
    newest: u64,
) -> Result<(), PlatformError> {
    let old_version = newest.saturating_sub(VERSIONS_WITH_PRESETS);
    if old_version == 0 {
        return Ok(());
    }
    let key = Configuration::key(old_version);
    let Some(object) = platform.read(&key).await? else { return Ok(()) };
    let mut value = object.value.unwrap_or_default();
    let Some(presets) = value.get_mut("presets").and_then(|p| p.as_object_mut()) else {
        return Ok(());
    };
    if presets.is_empty() {
        return Ok(());
    }
    presets.clear();
    platform.replace(&key, &value, object.version).await.map(|_| ())
}
