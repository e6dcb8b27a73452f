//! Finding the newest version of the configuration among any number.

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_core::object::Object;
use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Platform, PlatformError};

/// Key of the object that says about where the newest version is.
pub const CONFIG_HEAD: &str = "head/config";
/// Versions that one listing returns; each may be as large as a value can be.
const PAGE: usize = 4;

/// About where the newest version is.
///
/// A hint only: it is written after the version itself and may be missing or behind, which costs
/// further reads. Which version is the newest is decided by the versions alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// A version that exists or existed.
    pub version: u64,
}

/// The newest version, and the revision from which to watch for later ones.
#[derive(Debug, Clone, Default)]
pub struct NewestConfig {
    /// The newest version; `None` before the first.
    pub config: Option<Configuration>,
    /// Nothing up to this revision of the platform is newer.
    pub revision: u64,
}

/// Finds the newest version from the hint on, a few versions a call.
///
/// A listing of all versions grows with every change; at some thousand changes a day it would soon
/// pass any limit on an answer, and an instance that starts would never become ready.
pub async fn newest_config<P: Platform>(platform: &P) -> Result<NewestConfig, PlatformError> {
    let hint = read_head(platform).await?.map_or(0, |(head, _)| head.version);
    let mut after = Configuration::key(hint.saturating_sub(1));
    let mut newest: Option<Object> = None;
    loop {
        let page = platform.list_after(CONFIG_PREFIX, &after, PAGE).await?;
        let count = page.objects.len();
        if let Some(last) = page.objects.into_iter().next_back() {
            after.clone_from(&last.key);
            newest = Some(last);
        }
        if count < PAGE {
            let config = newest.map(decode).transpose()?;
            return Ok(NewestConfig { config, revision: page.revision });
        }
    }
}

/// Raises the hint after a version was accepted; failing is harmless.
pub async fn raise_head<P: Platform>(platform: &P, version: u64) -> Result<(), PlatformError> {
    let value = serde_json::to_value(ConfigHead { version })
        .map_err(|e| PlatformError::Refused(e.into()))?;
    match read_head(platform).await? {
        None => platform.create(CONFIG_HEAD, &value).await.map(|_| ()),
        Some((head, at)) if head.version < version => {
            platform.replace(CONFIG_HEAD, &value, at).await.map(|_| ())
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
