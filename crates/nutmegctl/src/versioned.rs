//! Conditional write of the next version of an object that several operators may change.

use anyhow::Context;
use nutmeggrade_core::order::DesiredState;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform, PlatformError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::sleep;

use crate::platform::{POLL_INTERVAL, platform_down};

/// Maximum number of attempts to read back a write whose response was lost.
const MAX_READ_BACKS: u32 = 5;

/// One version of an object to which operators add versions by conditional writes.
pub trait Versioned: Serialize + DeserializeOwned {
    /// Returns the version number.
    fn version(&self) -> u64;

    /// Returns the id of the change that created the version.
    fn id(&self) -> &ChangeId;

    /// Describes who changed what, and why.
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

/// Writes a version under its key unless another operator has written this version.
///
/// If the response is lost, the write may still have taken effect. The version is then read back,
/// and its change id shows whether this write succeeded. If the read fails too, the error ends with
/// `hint`, which says how to check the outcome.
pub async fn write_version<T: Versioned>(
    platform: &HttpPlatform,
    key: &str,
    next: &T,
    hint: &str,
) -> anyhow::Result<()> {
    let value = serde_json::to_value(next).context("encode version")?;
    match platform.create(key, &value).await {
        Ok(_) => return Ok(()),
        Err(error @ PlatformError::Refused(_)) => return Err(platform_down(&error)),
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {}
    }
    for _ in 0..MAX_READ_BACKS {
        if let Ok(object) = platform.read(key).await {
            return compare_with_stored(next, object.and_then(|o| o.value), hint);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(outcome_unknown(hint))
}

fn compare_with_stored<T: Versioned>(
    next: &T,
    stored_value: Option<Value>,
    hint: &str,
) -> anyhow::Result<()> {
    // A write whose response was lost may still arrive, so a missing version proves nothing.
    let Some(value) = stored_value else { return Err(outcome_unknown(hint)) };
    let stored: T = serde_json::from_value(value).context("decode version")?;
    if stored.id() == next.id() {
        return Ok(());
    }
    let detail = format!("version {} was taken by {}", stored.version(), stored.summary());
    Err(Failure::new(Code::Conflict, &detail).into())
}

fn outcome_unknown(hint: &str) -> anyhow::Error {
    let detail = format!("whether it was accepted is not known; {hint}");
    Failure::new(Code::ChangeUnknown, &detail).with_run(RunStatus::Unknown).into()
}
