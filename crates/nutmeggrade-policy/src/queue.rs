//! Who is next.

mod fair_queue;
mod lane;

pub use fair_queue::FairQueue;
pub use lane::{Lane, Queued};
