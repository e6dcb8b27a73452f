//! Settings from flags and environment variables, validated together.

mod origin;
mod spec;
mod values;

pub use origin::Origin;
pub use spec::{SettingKind, SettingSpec, VARIABLE_PREFIX};
pub use values::{SettingError, SettingValues};
