//! Which load comes when.

use std::time::Duration;

use nutmeggrade_core::moment::Moment;

use super::Change;

/// Requests a second that fill the engines' memory on average, from the pattern's mean lengths; see
/// `docs/measurements/decisions.md`.
pub const CAPACITY: f64 = 40.0;
/// The patterns of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Half load with 10 s of four times as much.
    Burst,
    /// Two of ten workspaces send 80 % at 1.3 times capacity.
    TwoWorkspaces,
    /// One engine of twelve becomes eight times slower for a minute.
    SlowEndpoint,
    /// One answer in 150 is up to 24,576 tokens long.
    Huge,
    /// As much as the engines bear.
    Saturation1,
    /// Half more than the engines bear.
    Saturation15,
    /// Three times what the engines bear.
    Saturation3,
    /// A failure domain leaves and returns cold.
    DomainOut,
    /// The same at a load that the other two domains can't bear.
    DomainOutBusy,
    /// Reports are three seconds old, and two warm engines turn cold.
    StaleReports,
}

impl Shape {
    /// Every pattern.
    pub const ALL: [Self; 10] = [
        Self::Burst,
        Self::TwoWorkspaces,
        Self::SlowEndpoint,
        Self::Huge,
        Self::Saturation1,
        Self::Saturation15,
        Self::Saturation3,
        Self::DomainOut,
        Self::DomainOutBusy,
        Self::StaleReports,
    ];

    /// Returns the name used in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::TwoWorkspaces => "two workspaces",
            Self::SlowEndpoint => "slow endpoint",
            Self::Huge => "huge among short",
            Self::Saturation1 => "saturation 1.0",
            Self::Saturation15 => "saturation 1.5",
            Self::Saturation3 => "saturation 3",
            Self::DomainOut => "domain out and back",
            Self::DomainOutBusy => "busy domain out",
            Self::StaleReports => "stale reports",
        }
    }

    pub(super) fn rate(self, at: f64) -> f64 {
        let load = match self {
            Self::Burst if (40.0..50.0).contains(&at) => 2.0,
            Self::Burst | Self::SlowEndpoint | Self::DomainOut => 0.5,
            Self::Huge => 0.35,
            Self::TwoWorkspaces => 1.3,
            Self::StaleReports => 0.7,
            Self::DomainOutBusy => 0.9,
            Self::Saturation1 => 1.0,
            Self::Saturation15 => 1.5,
            Self::Saturation3 => 3.0,
        };
        load * CAPACITY
    }

    pub(super) fn changes(self, scale: f64) -> Vec<Change> {
        let at = |ms: u64| Moment::new(Duration::from_millis(ms).mul_f64(scale));
        match self {
            Self::SlowEndpoint => vec![
                Change::Slow { at: at(30_000), engine: 4, factor: 8 },
                Change::Slow { at: at(90_000), engine: 4, factor: 1 },
            ],
            Self::DomainOut | Self::DomainOutBusy => vec![
                Change::Out { at: at(30_000), domain: 1 },
                Change::Restart { at: at(69_000), domain: 1 },
                Change::Back { at: at(70_000), domain: 1 },
            ],
            Self::StaleReports => vec![
                Change::Cold { at: at(40_000), engine: 2 },
                Change::Cold { at: at(80_000), engine: 7 },
            ],
            _ => Vec::new(),
        }
    }
}
