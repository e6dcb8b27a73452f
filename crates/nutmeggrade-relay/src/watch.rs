//! Keeps the instance's view of the platform's store up to date.

mod apply;
mod follower;
mod overdue_guard;
mod pacing;
mod read_state;
mod store_calls;

pub use apply::{apply_endpoint_changes, apply_peer_objects, objects_for_peer};
pub use follower::start;
pub use read_state::ReadState;
pub use store_calls::StoreCalls;
