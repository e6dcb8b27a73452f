//! Scheduled changes of the engines.

use nutmeggrade_core::moment::Moment;

/// A scheduled change of the engines.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// An engine's steps take `factor` times as long.
    Slow {
        /// Time of the change.
        at: Moment,
        /// Number of the engine.
        engine: usize,
        /// Factor of the step time.
        factor: u32,
    },
    /// A warm engine turns cold.
    Cold {
        /// Time of the change.
        at: Moment,
        /// Number of the engine.
        engine: usize,
    },
    /// A failure domain is taken out of service.
    Out {
        /// Time of the change.
        at: Moment,
        /// Number of the domain.
        domain: usize,
    },
    /// The engines of a domain restart cold.
    Restart {
        /// Time of the change.
        at: Moment,
        /// Number of the domain.
        domain: usize,
    },
    /// A failure domain returns to service.
    Back {
        /// Time of the change.
        at: Moment,
        /// Number of the domain.
        domain: usize,
    },
}

impl Change {
    pub(super) const fn at(&self) -> Moment {
        match self {
            Self::Slow { at, .. }
            | Self::Cold { at, .. }
            | Self::Out { at, .. }
            | Self::Restart { at, .. }
            | Self::Back { at, .. } => *at,
        }
    }
}
