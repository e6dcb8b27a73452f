//! Fair queues of waiting requests.

mod fair_queue;
mod lane;

pub use fair_queue::FairQueue;
pub use lane::{Lane, Queued};
