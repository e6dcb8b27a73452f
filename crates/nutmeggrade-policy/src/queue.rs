//! Fair queues of waiting requests, and their order across instances.

mod arrival_rate;
mod backlog_level;
mod fair_queue;
mod fleet_backlog;
mod lane;
mod own_backlog;
mod report_schedule;
mod urgent_reserve;
mod yield_reason;

pub use arrival_rate::ArrivalRate;
pub use backlog_level::BacklogLevel;
pub use fair_queue::FairQueue;
pub use fleet_backlog::FleetBacklog;
pub use lane::{Lane, Queued};
pub use own_backlog::{OwnBacklog, units};
pub use report_schedule::ReportSchedule;
pub use urgent_reserve::{UrgentReserve, whole};
pub use yield_reason::YieldReason;
