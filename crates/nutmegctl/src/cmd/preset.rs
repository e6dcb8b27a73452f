//! `nutmegctl preset list|show|put|use`.

use anyhow::Context;
use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;

use crate::change::{current, make};
use crate::line::{Line, say};
use crate::platform::platform;
use crate::settings::Settings;

/// Lists the presets; the one in force has a star.
pub async fn list(settings: &Settings) -> anyhow::Result<()> {
    let config = newest(settings).await?;
    for name in config.presets.keys() {
        if settings.json {
            let line = Line::new("preset").with("name", name.as_str());
            line.with("in_force", *name == config.active).print(settings);
        } else {
            let star = if *name == config.active { "*" } else { " " };
            say(&format!("{star} {name}"));
        }
    }
    Ok(())
}

/// Prints a preset.
pub async fn show(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let config = newest(settings).await?;
    let name = PresetId::new(name)?;
    let Some(preset) = config.presets.get(&name) else {
        return Err(Failure::new(Code::UnknownName, &format!("no preset {name}")).into());
    };
    say(&serde_json::to_string_pretty(preset)?);
    Ok(())
}

/// Adds or replaces a preset.
pub async fn put(settings: &Settings, name: &str, file: &str) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {file}"))?;
    let content = Preset::parse(file, &text)?;
    let preset = PresetId::new(name)?;
    make(settings, &Change::PutPreset { preset, content: Box::new(content) }).await
}

/// Puts a preset in force.
pub async fn choose(settings: &Settings, name: &str) -> anyhow::Result<()> {
    make(settings, &Change::UsePreset { preset: PresetId::new(name)? }).await
}

async fn newest(settings: &Settings) -> anyhow::Result<Configuration> {
    let found = current(&platform(settings)?).await?;
    found.ok_or_else(|| Failure::new(Code::NotReady, "no configuration yet").into())
}
