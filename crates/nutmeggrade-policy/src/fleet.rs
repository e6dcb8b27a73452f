//! Fleet-wide limits that each instance enforces for itself.

mod client_part;
mod cold_share;
mod polled;
mod rate_share;
mod resend_budget;
mod turn;

pub use client_part::client_part;
pub use cold_share::ColdShare;
pub use polled::{PollCandidate, PollLimits, choose_polled};
pub use rate_share::RateShare;
pub use resend_budget::{ResendBudget, ResendLimits};
pub use turn::Turn;
