//! `nutmegctl endpoint out|in NAME`.

use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;

use crate::change::apply_change;
use crate::settings::Settings;

/// Takes an endpoint out of service.
pub async fn take_out(settings: &Settings, name: &str) -> anyhow::Result<()> {
    apply_change(settings, &Change::EndpointOut { endpoint: EndpointId::new(name)? }).await
}

/// Returns an endpoint to service.
pub async fn bring_in(settings: &Settings, name: &str) -> anyhow::Result<()> {
    apply_change(settings, &Change::EndpointIn { endpoint: EndpointId::new(name)? }).await
}
