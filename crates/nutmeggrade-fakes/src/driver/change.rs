//! What happens to the engines.

use nutmeggrade_core::moment::Moment;

/// Something that happens to the engines.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Steps take `factor` times as long.
    Slow {
        /// When.
        at: Moment,
        /// Which.
        engine: usize,
        /// How much slower.
        factor: u32,
    },
    /// A warm engine turns cold.
    Cold {
        /// When.
        at: Moment,
        /// Which.
        engine: usize,
    },
    /// A failure domain is taken out.
    Out {
        /// When.
        at: Moment,
        /// Which.
        domain: usize,
    },
    /// Its engines restart while it is out.
    Restart {
        /// When.
        at: Moment,
        /// Which.
        domain: usize,
    },
    /// It comes back.
    Back {
        /// When.
        at: Moment,
        /// Which.
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
