//! Orders to engines: followed in the platform, given by the owner, read back.

mod engine;
mod follow;
mod owner;
mod weights;

pub use follow::run as follow;
pub use owner::run as give;
