//! Rollouts of new versions, as seen by one instance.

mod entry;
mod last_report;
mod peer_count;
mod service_load;
mod table;
mod version_rule;

pub use last_report::LastReport;
pub use service_load::{EndpointLoad, ServiceLoad};
pub use table::{RolloutTable, RolloutView, StateChange};
pub use version_rule::{VersionRole, VersionRule};
