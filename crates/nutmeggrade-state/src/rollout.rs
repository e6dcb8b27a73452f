//! Roll-outs of new versions, as seen by one instance.

mod entry;
mod peer_count;
mod reported;
mod surroundings;
mod table;
mod version_rule;

pub use reported::Reported;
pub use surroundings::{EndpointLoad, Surroundings};
pub use table::{RolloutTable, RolloutView, StateChange};
pub use version_rule::{Standing, VersionRule};
