//! Settings from flags and environment variables, validated together.

mod source;
mod spec;
mod values;

pub use source::Origin;
pub use spec::{Kind, Spec, VARIABLE_PREFIX};
pub use values::{Mistake, Values};
