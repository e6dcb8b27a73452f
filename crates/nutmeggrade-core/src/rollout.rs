//! Rollouts, which move a service's traffic to endpoints of another version, and back if needed.

mod latencies;
mod notice;
mod order;
mod outcome;
mod outcomes;
mod phase;
mod report;
mod state;
mod status;
mod stored;
mod tally;

pub use latencies::Latencies;
pub use notice::RolloutNotice;
pub use order::{RolloutId, RolloutOrder};
pub use outcome::Outcome;
pub use outcomes::{Outcomes, RouteOutcomes};
pub use phase::RolloutPhase;
pub use report::RolloutReport;
pub use state::RolloutState;
pub use status::{ROLLOUTS_PATH, RolloutStatus};
pub use stored::StoredRollout;
pub use tally::RolloutTally;
