//! `nutmegctl watch`.

use std::time::Duration;

use tokio::time::sleep;

use super::status;
use crate::line::say;
use crate::settings::Settings;

const PAUSE: Duration = Duration::from_secs(1);

/// Repeats `status` until it was shown as often as asked, or without end.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut round = 0;
    loop {
        status::show(settings).await?;
        round += 1;
        if round == settings.rounds {
            return Ok(());
        }
        say("");
        sleep(PAUSE).await;
    }
}
