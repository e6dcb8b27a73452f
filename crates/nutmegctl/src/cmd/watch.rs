//! `nutmegctl watch`.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use tokio::time::sleep;

use super::status;
use crate::admin;
use crate::line::print_line;
use crate::settings::Settings;

const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Repeats `status` as often as `--rounds` says, or without end.
///
/// Operators watch during outages of the platform, so a failed round doesn't end the command. The
/// exit code is that of the last round.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut round = 0;
    loop {
        let shown = status::show(settings).await;
        round += 1;
        if round == settings.rounds {
            return shown;
        }
        if let Err(error) = shown {
            if admin::has_code(&error, Code::BadToken) {
                return Err(error);
            }
            eprintln!("nutmegctl: {error:#}");
        }
        print_line("");
        sleep(REPEAT_INTERVAL).await;
    }
}
