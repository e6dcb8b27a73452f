//! Fleet-wide limits that each instance enforces for itself.

mod cold_share;
mod resend_budget;

pub use cold_share::ColdShare;
pub use resend_budget::{ResendBudget, ResendLimits};
