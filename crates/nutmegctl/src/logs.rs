//! What the instances' log lines say of a request.
//!
//! [`Record`] is one line, [`LogBook`] all that were collected, [`Cause`] what they come to.

mod cause;
mod endpoint_fate;
mod log_book;
mod record;

pub use cause::Cause;
pub use log_book::LogBook;
pub use record::Record;
