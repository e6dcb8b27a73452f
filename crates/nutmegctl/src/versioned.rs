//! Writing the next version of an object that operators race for.

use anyhow::Context;
use nutmeggrade_core::order::DesiredState;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform, PlatformError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::sleep;

use crate::platform::{POLL, down};

/// Attempts to read back a write whose answer was lost.
const READ_BACKS: u32 = 5;

/// One version of something that only one operator at a time may change.
pub trait Versioned: Serialize + DeserializeOwned {
    /// Returns the number of the version.
    fn version(&self) -> u64;

    /// Returns the id of the change that made it.
    fn id(&self) -> &ChangeId;

    /// Tells who changed what, and why.
    fn summary(&self) -> String;
}

impl Versioned for Configuration {
    fn version(&self) -> u64 {
        self.version
    }

    fn id(&self) -> &ChangeId {
        &self.id
    }

    fn summary(&self) -> String {
        let change = serde_json::to_string(&self.change).unwrap_or_default();
        format!("{} ({}): {change}", self.who, self.why)
    }
}

impl Versioned for DesiredState {
    fn version(&self) -> u64 {
        self.version
    }

    fn id(&self) -> &ChangeId {
        &self.id
    }

    fn summary(&self) -> String {
        format!("{} ({}): {}", self.who, self.why, self.change)
    }
}

/// Writes a version under its key if no other operator's came first.
///
/// The answer of the write can be lost after it took effect. The version is then read back: the id
/// of the change in it tells whose it is. `later` tells how to find out if that can't be learned.
pub async fn write<T: Versioned>(
    platform: &HttpPlatform,
    key: &str,
    next: &T,
    later: &str,
) -> anyhow::Result<()> {
    let value = serde_json::to_value(next).context("encode version")?;
    match platform.create(key, &value).await {
        Ok(_) => return Ok(()),
        Err(error @ PlatformError::Refused(_)) => return Err(down(&error)),
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {}
    }
    for _ in 0..READ_BACKS {
        if let Ok(found) = platform.read(key).await {
            return settle(next, found.and_then(|o| o.value), later);
        }
        sleep(POLL).await;
    }
    Err(unknown(later))
}

fn settle<T: Versioned>(next: &T, found: Option<Value>, later: &str) -> anyhow::Result<()> {
    // A write whose answer was lost may still be on its way, so its absence proves nothing.
    let Some(value) = found else { return Err(unknown(later)) };
    let winner: T = serde_json::from_value(value).context("decode version")?;
    if winner.id() == next.id() {
        return Ok(());
    }
    let detail = format!("version {} was taken by {}", winner.version(), winner.summary());
    Err(Failure::new(Code::Conflict, &detail).into())
}

fn unknown(later: &str) -> anyhow::Error {
    let detail = format!("whether it was accepted is not known; {later}");
    Failure::new(Code::ChangeUnknown, &detail).with_run(Run::Unknown).into()
}
