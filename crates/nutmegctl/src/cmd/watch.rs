//! `nutmegctl watch`.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use tokio::time::sleep;

use super::status;
use crate::admin;
use crate::line::say;
use crate::settings::Settings;

const PAUSE: Duration = Duration::from_secs(1);

/// Repeats `status` until it was shown as often as asked, or without end.
///
/// An outage of the platform is what one watches for, so a failed look does not end the command; its
/// exit code is that of the last look.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let mut round = 0;
    loop {
        let looked = status::show(settings).await;
        round += 1;
        if round == settings.rounds {
            return looked;
        }
        if let Err(error) = looked {
            if admin::is(&error, Code::BadToken) {
                return Err(error);
            }
            eprintln!("nutmegctl: {error:#}");
        }
        say("");
        sleep(PAUSE).await;
    }
}
