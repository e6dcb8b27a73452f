//! `nutmegctl preset list|show|put|use`.

use anyhow::Context;
use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;

use crate::change::{apply_change, current_config};
use crate::line::{Line, print_line};
use crate::platform::platform_client;
use crate::settings::Settings;

/// Lists the presets and marks the one in force with a star.
pub async fn list(settings: &Settings) -> anyhow::Result<()> {
    let config = require_config(settings).await?;
    for name in config.presets.keys() {
        if settings.json {
            let line = Line::new("preset").with("name", name.as_str());
            line.with("in_force", *name == config.active).print(settings);
        } else {
            let star = if *name == config.active { "*" } else { " " };
            print_line(&format!("{star} {name}"));
        }
    }
    Ok(())
}

/// Prints a preset.
pub async fn show(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let config = require_config(settings).await?;
    let name = PresetId::new(name)?;
    let Some(preset) = config.presets.get(&name) else {
        return Err(Failure::new(Code::UnknownName, &format!("no preset {name}")).into());
    };
    print_line(&serde_json::to_string_pretty(preset)?);
    Ok(())
}

/// Adds or replaces a preset.
pub async fn put(settings: &Settings, name: &str, file: &str) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {file}"))?;
    let content = Preset::parse(file, &text)?;
    let preset = PresetId::new(name)?;
    apply_change(settings, &Change::PutPreset { preset, content: Box::new(content) }).await
}

/// Puts a preset in force.
pub async fn activate(settings: &Settings, name: &str) -> anyhow::Result<()> {
    apply_change(settings, &Change::UsePreset { preset: PresetId::new(name)? }).await
}

async fn require_config(settings: &Settings) -> anyhow::Result<Configuration> {
    let found = current_config(&platform_client(settings)?).await?;
    found.ok_or_else(|| Failure::new(Code::NotReady, "no configuration yet").into())
}
