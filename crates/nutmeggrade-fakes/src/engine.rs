//! The model engine's stand-in.

mod event;
mod faults;
mod job;
mod model;
mod orders;
mod server;
mod spec;

pub use event::Event;
pub use faults::Faults;
pub use job::Job;
pub use model::Model;
pub use orders::Orders;
pub use server::{Engine, serve};
pub use spec::Spec;
