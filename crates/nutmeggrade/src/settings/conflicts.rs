//! Detects settings that are each in range but contradict each other.

use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::settings::SettingError;
use tracing_subscriber::EnvFilter;

use super::Settings;

/// Minimum number of heartbeat intervals in `silence`: one lost heartbeat must not make a peer
/// count as gone.
const MIN_SILENT_INTERVALS: u32 = 2;

/// Minimum of `memory` as a multiple of `body`: half of it is for clients, and a body that grows needs
/// more than its size.
const MEMORY_PER_BODY: u64 = 8;

impl Settings {
    /// Returns an error for each contradiction.
    pub(super) fn conflicts(&self) -> Vec<SettingError> {
        let mut errors = Vec::new();
        if let Err(error) = EnvFilter::try_new(&self.log) {
            let detail = format!("--log (NUTMEGGRADE_LOG): {error}");
            errors.push(SettingError { code: Code::BadSetting, detail });
        }
        let mut check = |conflicts: bool, detail: &str| {
            if conflicts {
                errors.push(SettingError { code: Code::SettingsClash, detail: detail.to_owned() });
            }
        };
        check(
            self.silence < self.beacon * MIN_SILENT_INTERVALS,
            "--silence must be at least twice --beacon, or one lost heartbeat marks a peer as gone",
        );
        check(
            self.fence <= self.silence,
            "--fence must be longer than --silence, or work is refused before peers are connected",
        );
        check(
            self.body.saturating_mul(MEMORY_PER_BODY) > self.memory as u64,
            "--memory must be at least eight times --body, or a single body fills it",
        );
        check(self.shares_address(), "two of the listening addresses are the same");
        errors
    }

    fn shares_address(&self) -> bool {
        let has_fixed_port = |a: &&SocketAddr| a.port() != 0;
        let addresses = [&self.caller_address, &self.peer_address, &self.admin_address];
        let fixed_addresses: Vec<_> = addresses.into_iter().filter(has_fixed_port).collect();
        let distinct: std::collections::BTreeSet<_> = fixed_addresses.iter().collect();
        distinct.len() < fixed_addresses.len()
    }
}
