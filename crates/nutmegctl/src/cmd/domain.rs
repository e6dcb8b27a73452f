//! `nutmegctl domain out|in NAME`.

use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;

use crate::change::apply_change;
use crate::settings::Settings;

/// Takes a failure domain out of service.
pub async fn take_out(settings: &Settings, name: &str) -> anyhow::Result<()> {
    apply_change(settings, &Change::DomainOut { domain: DomainId::new(name)? }).await
}

/// Returns a failure domain to service.
pub async fn bring_in(settings: &Settings, name: &str) -> anyhow::Result<()> {
    apply_change(settings, &Change::DomainIn { domain: DomainId::new(name)? }).await
}
