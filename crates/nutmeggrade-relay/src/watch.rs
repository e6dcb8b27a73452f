//! Keeps the instance's view of the platform's store up to date.

mod apply;
mod follower;
mod overdue_guard;
mod pacing;
mod read_state;
mod store_calls;

pub use apply::{
    apply_endpoints_reply, apply_peer_changes, apply_peer_config, apply_peer_objects,
    config_for_peer, endpoints_since, objects_for_peer,
};
pub use follower::start;
pub use read_state::ReadState;
pub use store_calls::{CallReason, StoreCalls};
