//! The configuration that operators put in force.

mod change;
mod configuration;
mod operation_class;
mod preset;
mod task_class;
mod weights;

pub use change::Change;
pub use configuration::{CONFIG_PREFIX, Configuration};
pub use operation_class::OperationClass;
pub use preset::{Limits, ModelClass, Preset};
pub use task_class::TaskClass;
pub use weights::Weights;
