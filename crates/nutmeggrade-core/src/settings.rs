//! Settings from flags and environment variables, validated together.

mod origin;
mod spec;
mod values;

pub use origin::Origin;
pub use spec::{Kind, Spec, VARIABLE_PREFIX};
pub use values::{SettingError, Values};
