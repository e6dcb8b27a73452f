//! `nutmegctl domain out|in NAME`.

use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;

use crate::change::make;
use crate::settings::Settings;

/// Takes a failure domain out of service.
pub async fn take_out(settings: &Settings, name: &str) -> anyhow::Result<()> {
    make(settings, &Change::DomainOut { domain: DomainId::new(name)? }).await
}

/// Brings a failure domain back.
pub async fn bring_in(settings: &Settings, name: &str) -> anyhow::Result<()> {
    make(settings, &Change::DomainIn { domain: DomainId::new(name)? }).await
}
