//! Shapes of load over time.

use std::time::Duration;

use nutmeggrade_core::moment::Moment;

use super::Change;

/// Requests per second that fill the engines' memory on average, given the patterns' mean lengths;
/// see `docs/measurements/decisions.md`.
pub const CAPACITY_PER_SECOND: f64 = 40.0;

/// Shape of a load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadShape {
    /// Half of the capacity, with a burst of four times as much for 10 s.
    Burst,
    /// 1.3 times the capacity, 80 % of it from two of ten workspaces.
    TwoWorkspaces,
    /// One of twelve engines is eight times slower for a minute.
    SlowEndpoint,
    /// One output in 150 is up to 24,576 tokens long.
    Huge,
    /// Exactly the capacity.
    Saturation1,
    /// 1.5 times the capacity.
    Saturation15,
    /// Three times the capacity.
    Saturation3,
    /// A failure domain is taken out of service and returns cold.
    DomainOut,
    /// The same at a load that exceeds the capacity of the other two domains.
    DomainOutBusy,
    /// Load reports lag by three seconds, and two warm engines turn cold.
    StaleReports,
}

impl LoadShape {
    /// All shapes.
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

    /// Returns the name used in result tables.
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
        load * CAPACITY_PER_SECOND
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
