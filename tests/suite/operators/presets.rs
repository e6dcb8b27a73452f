//! Presets that select the engines of a model.

use nutmeggrade_fakes::fleet::{MODEL, Plan, preset};
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run};

const REQUIRED_FLAGS: [&str; 4] = ["--who", "anna", "--why", "artwork only"];

/// Writes a preset in which a single engine serves the model, and returns its path.
fn write_preset(engine: &str) -> anyhow::Result<String> {
    let mut value = serde_json::to_value(preset()?)?;
    value["models"][MODEL]["endpoints"] = json!([engine]);
    let name = format!("nutmeggrade-preset-{engine}-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, value.to_string())?;
    Ok(path.display().to_string())
}

// Operators reserve an engine for other work. After they put a preset in force that names another
// engine, no new generation reaches the reserved one.
#[rstest]
fn only_the_named_engine_serves() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(1).with_engines(2)).await?;
        let file = write_preset("engine-1")?;
        for arguments in [vec!["preset", "put", "one", &file], vec!["preset", "use", "one"]] {
            let (code, text) =
                guard.fleet.run_nutmegctl(&[&*arguments, &REQUIRED_FLAGS].concat()).await?;
            assert_eq!(code, 0, "{text}");
        }
        let caller = guard.fleet.caller("staatsbos");
        for n in 0..4 {
            let received = caller.stream(0, "district-sort", &format!("a {n} len=5")).await?;
            assert!(received.is_whole(), "{received:?}");
        }
        let runs = guard.fleet.log("engine-0").await?["runs"].as_object().map(serde_json::Map::len);
        assert_eq!(runs, Some(0));
        let file = write_preset("engine-9")?;
        let arguments = ["preset", "put", "other", &file];
        let (code, text) =
            guard.fleet.run_nutmegctl(&[&arguments[..], &REQUIRED_FLAGS].concat()).await?;
        assert!(code == 3 && text.contains("5011"), "{text}");
        Ok(())
    });
}
