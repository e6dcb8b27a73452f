//! Whether an engine's memory bears one more answer.

mod forecast;
mod mix;
mod others;

pub use forecast::{AHEAD, Forecast};
pub use mix::Mix;
pub use others::Others;
