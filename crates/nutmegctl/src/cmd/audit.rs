//! `nutmegctl audit`.

use crate::change::{history, platform};
use crate::settings::Settings;

/// Lists every accepted change, oldest first.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    for config in history(&platform(settings)).await? {
        let change = serde_json::to_string(&config.change)?;
        println!(
            "version={} at_ms={} who={:?} why={:?} change={change}",
            config.version, config.at_ms, config.who, config.why
        );
    }
    Ok(())
}
