//! Calls of plain services, idempotent or at most once.

mod call;
mod idempotent;
mod once;
mod records;
mod replica;

pub use call::{Call, ServiceResponse};
pub use idempotent::run_idempotent;
pub use once::{run_once, with_unknown_run};
