//! Memory forecasts of engines.

mod forecast;
mod peer_usage;
mod response_mix;

pub use forecast::{FORECAST_STEPS, Forecast};
pub use peer_usage::PeerUsage;
pub use response_mix::ResponseMix;
