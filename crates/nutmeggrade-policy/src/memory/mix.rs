//! How the memory of a usual mix of answers develops.

use super::{AHEAD, Forecast};

/// Tokens for which the assumed mix counts; ten usual answers.
const PRIOR: f64 = 20_000.0;
/// Mean per token held now, before own answers say more: most of it grows on and ends within a
/// thousand steps.
const MEAN: [f64; AHEAD.len()] = [1.0, 1.02, 1.03, 1.0, 0.85, 0.55, 0.25, 0.1, 0.0, 0.0];
/// Variance per token held now.
const VARIANCE: [f64; AHEAD.len()] =
    [0.0, 100.0, 250.0, 450.0, 700.0, 800.0, 600.0, 300.0, 0.0, 0.0];

/// Forecast of all answers of this instance together, and by it of the answers of its peers.
///
/// Answers the lack of first-hand knowledge of peers' answers: the report says what they hold, not
/// how far they are. Callers are spread over instances at random, so that the own mix stands for the
/// peers'.
#[derive(Debug, Clone, Default)]
pub struct Mix {
    /// Sum of the own answers' forecasts.
    pub sum: Forecast,
    count: usize,
}

impl Mix {
    /// Takes an answer in.
    pub fn add(&mut self, forecast: &Forecast) {
        self.sum += forecast;
        self.count += 1;
    }

    /// Takes an answer out.
    pub fn remove(&mut self, forecast: &Forecast) {
        self.sum -= forecast;
        self.count = self.count.saturating_sub(1);
        if self.count == 0 {
            self.sum = Forecast::default();
        }
    }

    /// Returns the forecast per token held now.
    pub fn per_token(&self) -> Forecast {
        let prior = Forecast { mean: MEAN, variance: VARIANCE };
        let sum = self.sum.with_scaled(&prior, PRIOR);
        Forecast::default().with_scaled(&sum, 1.0 / sum.mean[0])
    }

    /// Returns the tokens that a usual answer holds.
    pub fn mean_held(&self) -> f64 {
        let count = self.count as f64 + 10.0;
        (self.sum.mean[0] + PRIOR) / count
    }
}
