//! Settings that are each in range but contradict each other.

use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::SettingError;
use tracing_subscriber::EnvFilter;

use super::Settings;

/// Heartbeats that may be missed before a peer counts as gone; one lost message must not count.
const MISSED: u32 = 2;

impl Settings {
    /// Lists every contradiction.
    pub(super) fn clashes(&self) -> Vec<SettingError> {
        let mut found = Vec::new();
        if let Err(error) = EnvFilter::try_new(&self.log) {
            let detail = format!("--log (NUTMEGGRADE_LOG): {error}");
            found.push(SettingError { code: Code::BadSetting, detail });
        }
        let mut clash = |clashes: bool, detail: &str| {
            if clashes {
                found.push(SettingError { code: Code::SettingsClash, detail: detail.to_owned() });
            }
        };
        clash(
            self.silence < self.beacon * MISSED,
            "--silence must be at least twice --beacon, or one lost heartbeat ends a peer",
        );
        clash(
            self.fence <= self.silence,
            "--fence must be longer than --silence, or an instance stops before it knows its peers",
        );
        clash(self.shares_address(), "two of the listening addresses are the same");
        found
    }

    fn shares_address(&self) -> bool {
        let fixed = |a: &&SocketAddr| a.port() != 0;
        let all = [&self.caller_address, &self.peer_address, &self.admin_address];
        let listed: Vec<_> = all.into_iter().filter(fixed).collect();
        let distinct: std::collections::BTreeSet<_> = listed.iter().collect();
        distinct.len() < listed.len()
    }
}
