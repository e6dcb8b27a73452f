//! Limits that hold for all instances together, decided by each one alone.

mod cold_share;
mod resend_budget;

pub use cold_share::ColdShare;
pub use resend_budget::{Allowance, ResendBudget};
