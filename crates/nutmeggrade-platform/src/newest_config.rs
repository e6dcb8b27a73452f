//! Lookup of the newest configuration version.

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_core::object::Object;
use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Platform, PlatformError};

/// Key of the hint at the newest version in the platform's object store.
pub const CONFIG_HEAD: &str = "head/config";
/// Number of versions per list call; each may have the maximum size of a value.
const PAGE_SIZE: usize = 4;

/// Hint at the newest version.
///
/// The hint is written after the version itself and may be missing or outdated, which costs more
/// reads. Only the versions themselves determine which one is the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of a version that exists or existed.
    pub version: u64,
}

/// The newest version and the revision from which to watch for newer ones.
#[derive(Debug, Clone, Default)]
pub struct NewestConfig {
    /// The newest version; `None` if there is none yet.
    pub config: Option<Configuration>,
    /// Revision of the platform's store up to which no newer version exists.
    pub revision: u64,
}

/// Finds the newest version, starting at the hint and listing a few versions per call.
///
/// A list of all versions grows with every change; at some thousand changes a day it would soon
/// exceed any response limit, and a starting instance would never become ready.
pub async fn newest_config<P: Platform>(platform: &P) -> Result<NewestConfig, PlatformError> {
    let hint = read_head(platform).await?.map_or(0, |(head, _)| head.version);
    let mut after = Configuration::key(hint.saturating_sub(1));
    let mut newest: Option<Object> = None;
    loop {
        let page = platform.list_after(CONFIG_PREFIX, &after, PAGE_SIZE).await?;
        let count = page.objects.len();
        if let Some(last) = page.objects.into_iter().next_back() {
            after.clone_from(&last.key);
            newest = Some(last);
        }
        if count < PAGE_SIZE {
            let config = newest.map(decode).transpose()?;
            return Ok(NewestConfig { config, revision: page.revision });
        }
    }
}

/// Raises the hint after a version was accepted. A failure is harmless.
pub async fn advance_config_head<P: Platform>(
    platform: &P,
    version: u64,
) -> Result<(), PlatformError> {
    let value = serde_json::to_value(ConfigHead { version })
        .map_err(|e| PlatformError::Refused(e.into()))?;
    match read_head(platform).await? {
        None => platform.create(CONFIG_HEAD, &value).await.map(|_| ()),
        Some((head, object_version)) if head.version < version => {
            platform.replace(CONFIG_HEAD, &value, object_version).await.map(|_| ())
        }
        Some(_) => Ok(()),
    }
}

async fn read_head<P: Platform>(platform: &P) -> Result<Option<(ConfigHead, u64)>, PlatformError> {
    let Some(object) = platform.read(CONFIG_HEAD).await? else { return Ok(None) };
    let value = object.value.unwrap_or_default();
    let head = serde_json::from_value(value).map_err(|e| PlatformError::Refused(e.into()))?;
    Ok(Some((head, object.version)))
}

fn decode(object: Object) -> Result<Configuration, PlatformError> {
    let value = object.value.unwrap_or_default();
    serde_json::from_value(value).map_err(|e| PlatformError::Refused(e.into()))
}
