//! Keeping the old versions of the configuration small.

use nutmeggrade_core::prelude::*;

use crate::{Platform, PlatformError};

/// Versions that are kept whole, the newest included.
pub const WHOLE_VERSIONS: u64 = 64;

/// Takes the presets out of the version that is no longer among the newest ones.
///
/// Every version holds all presets, and at thousands of changes a day they would fill the platform.
/// What remains is the audit trail: the change, who made it, when and why. Nobody puts an old
/// version in force, since only a higher one is ever taken. Failing is harmless.
pub async fn thin_out<P: Platform>(platform: &P, newest: u64) -> Result<(), PlatformError> {
    let old = newest.saturating_sub(WHOLE_VERSIONS);
    if old == 0 {
        return Ok(());
    }
    let key = Configuration::key(old);
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
