//! Roll-outs as one instance knows them.

mod entry;
mod peer_count;
mod table;
mod version_rule;

pub use table::{RolloutTable, RolloutView, StateChange};
pub use version_rule::{Standing, VersionRule};
