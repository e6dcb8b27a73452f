//! Keeps what is known of the platform's store up to date.

mod apply;
mod doubt;
mod follow;
mod follower;
mod pacing;
mod store_calls;

pub use apply::{apply_known, endpoint_changes, known};
pub use follow::Follow;
pub use follower::start;
pub use store_calls::StoreCalls;
