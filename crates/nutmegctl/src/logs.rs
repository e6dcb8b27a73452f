//! Explanation of a request from the instances' log lines.
//!
//! [`Record`] is one line, [`InstanceLogs`] holds all lines, and [`Cause`] is the explanation.

mod cause;
mod endpoint_change;
mod instance_logs;
mod record;

pub use cause::Cause;
pub use instance_logs::InstanceLogs;
pub use record::Record;
