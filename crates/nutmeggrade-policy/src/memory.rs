//! Memory forecasts of engines.

mod answer_mix;
mod forecast;
mod peer_usage;

pub use answer_mix::AnswerMix;
pub use forecast::{FORECAST_STEPS, Forecast};
pub use peer_usage::PeerUsage;
