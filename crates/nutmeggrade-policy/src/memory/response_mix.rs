//! Forecast for the mix of responses of this instance.

use super::{FORECAST_STEPS, Forecast};

/// Weight of the assumed mix, in tokens; ten typical responses.
const PRIOR_TOKENS: f64 = 20_000.0;
/// Assumed mean per token held: most responses keep growing and end within a thousand steps.
const PRIOR_MEAN: [f64; FORECAST_STEPS.len()] =
    [1.0, 1.02, 1.03, 1.0, 0.85, 0.55, 0.25, 0.1, 0.0, 0.0];
/// Assumed variance per token held.
const PRIOR_VARIANCE: [f64; FORECAST_STEPS.len()] =
    [0.0, 100.0, 250.0, 450.0, 700.0, 800.0, 600.0, 300.0, 0.0, 0.0];

/// Forecast of all responses of this instance, which also stands for those of its peers.
///
/// Reports show how much memory peers' responses hold, but not how far they have progressed.
/// Clients are spread over instances at random, so the peers' mix resembles this instance's.
#[derive(Debug, Clone, Default)]
pub struct ResponseMix {
    /// Sum of the forecasts of this instance's responses.
    pub sum: Forecast,
    count: usize,
}

impl ResponseMix {
    /// Adds a response.
    pub fn add(&mut self, forecast: &Forecast) {
        self.sum += forecast;
        self.count += 1;
    }

    /// Removes a response.
    pub fn remove(&mut self, forecast: &Forecast) {
        self.sum -= forecast;
        self.count = self.count.saturating_sub(1);
        if self.count == 0 {
            self.sum = Forecast::default();
        }
    }

    /// Returns the forecast per token held at present.
    pub fn per_token(&self) -> Forecast {
        let prior = Forecast { mean: PRIOR_MEAN, variance: PRIOR_VARIANCE };
        let sum = self.sum.with_scaled(&prior, PRIOR_TOKENS);
        Forecast::default().with_scaled(&sum, 1.0 / sum.mean[0])
    }

    /// Returns the mean number of tokens that a response holds.
    pub fn mean_held(&self) -> f64 {
        // The assumed mix counts as ten responses.
        let count = self.count as f64 + 10.0;
        (self.sum.mean[0] + PRIOR_TOKENS) / count
    }
}
