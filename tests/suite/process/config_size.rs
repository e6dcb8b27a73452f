//! Many and large configuration versions.

use anyhow::Context;
use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_platform::{
    Platform, VERSIONS_WITH_PRESETS, advance_config_head, newest_config, strip_old_presets,
};
use rstest::rstest;

use crate::support::{fleet, run};

/// Writes versions up to `last`, each with a reason of `size` bytes.
async fn write_versions(fleet: &Fleet, last: u64, size: usize) -> anyhow::Result<()> {
    let platform = fleet.client();
    let mut config = newest_config(&platform).await?.config.context("no configuration")?;
    let why = "x".repeat(size);
    let change = Change::DomainIn { domain: DomainId::new("veluwe")? };
    while config.version < last {
        let id = ChangeId::new(&format!("c{}", config.version))?;
        config = config.next(id, "anna", &why, &change)?;
        platform
            .create(&Configuration::key(config.version), &serde_json::to_value(&config)?)
            .await?;
    }
    Ok(())
}

// An instance starts after days of changes. If it read all versions at once, they would exceed any
// limit of an answer, and the instance would never become ready.
fn starts_whatever_there_is(last: u64, size: usize, hint: u64) {
    run(async move {
        let mut guard = fleet(&Plan::default().with_nodes(0).with_engines(1)).await?;
        write_versions(&guard.fleet, last, size).await?;
        advance_config_head(&guard.fleet.client(), hint).await?;
        guard.fleet.start_node(0)?;
        guard.fleet.wait_until_ready().await?;
        let status = guard.fleet.status("node-0").await?;
        assert_eq!(status["config"], last);
        Ok(())
    });
}

cases!(starts_whatever_there_is {
    large_and_hinted: 90, 800_000, 90;
    hint_far_behind: 100, 100, 3;
    hint_just_behind: 9, 100, 8;
    hint_of_a_page: 8, 100, 4;
});

// Thousands of versions a day, each with all presets, would fill the storage of the platform.
#[rstest]
fn old_versions_keep_the_audit_trail_only() {
    run(async {
        let guard = fleet(&Plan::default().with_nodes(0).with_engines(0).with_services(0)).await?;
        let platform = guard.fleet.client();
        let last = VERSIONS_WITH_PRESETS + 2;
        write_versions(&guard.fleet, last, 10).await?;
        strip_old_presets(&platform, last).await?;
        strip_old_presets(&platform, last).await?;
        let read = async |version: u64| {
            let object = platform
                .read(&Configuration::key(version))
                .await?
                .context("version object is missing")?;
            anyhow::Ok(serde_json::from_value::<Configuration>(object.value.unwrap_or_default())?)
        };
        let old = read(2).await?;
        assert!(old.presets.is_empty());
        assert_eq!((old.who.as_str(), old.why.len()), ("anna", 10));
        assert!(!read(3).await?.presets.is_empty());
        assert!(!read(last).await?.presets.is_empty());
        Ok(())
    });
}
