//! The configuration that operators put in force.

mod change;
mod configuration;
mod known_names;
mod operation_class;
mod preset;
mod preset_check;
mod problem;
mod task_class;
mod weights;

pub use change::Change;
pub use configuration::{CONFIG_PREFIX, Configuration};
pub use known_names::KnownNames;
pub use operation_class::OperationClass;
pub use preset::{Limits, ModelClass, Preset};
pub use preset_check::{MAX_CONTEXT, MAX_DEADLINE, MAX_QUEUE};
pub use problem::{Problem, Problems};
pub use task_class::TaskClass;
pub use weights::Weights;
