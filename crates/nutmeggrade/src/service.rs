//! Calls of plain services.

mod call;
mod idempotent;
mod once;
mod records;
mod replica;

pub use call::{Answer, Call};
pub use idempotent::run_idempotent;
pub use once::{run_once, unlearned};
